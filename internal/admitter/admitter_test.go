package admitter_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azuretrestle/azuretrestle/internal/admitter"
	"github.com/azuretrestle/azuretrestle/pkg/classifier"
	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

var epoch = time.Unix(1_700_000_000, 0)

func rank(name string, urgency int, floor float64) patcher.Rank {
	return patcher.Rank{
		Name: name, Urgency: urgency, Floor: floor, MaxQueue: 50,
		Target: patcher.Period{Duration: 300 * time.Millisecond},
	}
}

func item(id uint64, rank string, left time.Duration) admitter.Item {
	return admitter.Item{ID: id, Rank: rank, Deadline: epoch.Add(left)}
}

// TestFloors guards against a rank that gets fewer slots than its floor while it has
// requests, and against a floor that keeps slots idle while the rank has none.
func TestFloors(t *testing.T) {
	tests := []struct {
		name    string
		floors  [3]float64
		backlog [3]bool
		least   [3]int
	}{
		{"no floors", [3]float64{}, [3]bool{true, true, true}, [3]int{100, 0, 0}},
		{"floors", [3]float64{0.3, 0.1, 0.2}, [3]bool{true, true, true}, [3]int{65, 10, 20}},
		{"unused floor", [3]float64{0.3, 0.3, 0.2}, [3]bool{true, false, true}, [3]int{75, 0, 20}},
		{"only bulk", [3]float64{0.3, 0.3, 0.2}, [3]bool{false, false, true}, [3]int{0, 0, 100}},
	}
	names := [3]string{"a", "b", "c"}
	for _, tt := range tests {
		is := is.New(t)
		q := admitter.New()
		var ranks []patcher.Rank
		for i, n := range names {
			ranks = append(ranks, rank(n, i, tt.floors[i]))
		}
		q.Update(ranks)
		id := uint64(0)
		counts := map[string]int{}
		var running []string
		for range 2000 {
			for i, n := range names {
				if tt.backlog[i] {
					id++
					q.Requeue(epoch, item(id, n, time.Duration(id)))
				}
			}
			if len(running) == 100 {
				q.Ended(running[0])
				counts[running[0]]--
				running = running[1:]
			}
			it, ok := q.Next()
			is.True(ok)
			q.Dispatch(epoch, it.ID)
			q.Started(it.Rank)
			counts[it.Rank]++
			running = append(running, it.Rank)
		}
		for i, n := range names {
			if counts[n] < tt.least[i] {
				t.Errorf("%s: rank %s holds %d of 100 slots, want at least %d", tt.name, n, counts[n], tt.least[i])
			}
		}
	}
}

// TestDeadlineOrder guards against a later deadline that is served before an earlier one.
func TestDeadlineOrder(t *testing.T) {
	is := is.New(t)
	q := admitter.New()
	q.Update([]patcher.Rank{rank("a", 0, 0)})
	for _, d := range []int{5, 1, 4, 2, 3} {
		is.Equal(q.Offer(epoch, item(uint64(d), "a", time.Duration(d)*time.Second)), classifier.OK)
	}
	is.True(q.Remove(4))
	for _, want := range []uint64{1, 2, 3, 5} {
		it, ok := q.Next()
		is.True(ok)
		is.Equal(it.ID, want)
		q.Dispatch(epoch, it.ID)
	}
	is.Equal(q.Waiting(), 0)
}

// TestRefusals guards against an unbounded queue and against a request that is queued
// although it can't be answered in time.
func TestRefusals(t *testing.T) {
	const interval = 10 * time.Millisecond
	tests := []struct {
		name    string
		waiting int
		size    int64
		left    time.Duration
		work    time.Duration
		want    classifier.Code
	}{
		{"empty queue", 0, 0, time.Second, 0, classifier.OK},
		{"deadline passed", 0, 0, 0, 0, classifier.DeadlinePassed},
		{"short queue", 5, 0, time.Second, 0, classifier.OK},
		{"queue longer than the target allows", 12, 0, time.Second, 0, classifier.DeadlineUnreachable},
		{"deadline before dispatch", 5, 0, 40 * time.Millisecond, 0, classifier.DeadlineUnreachable},
		{"deadline before response", 5, 0, 100 * time.Millisecond, 60 * time.Millisecond, classifier.DeadlineUnreachable},
		{"full queue", 50, 0, time.Second, 0, classifier.QueueFull},
		{"large body", 1, 17 << 20, time.Second, 0, classifier.QueueFull},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			q := admitter.New()
			q.Update([]patcher.Rank{rank("a", 0, 0)})
			now := epoch.Add(-200 * interval)
			for i := range uint64(200) { // sets the mean dispatch interval
				q.Requeue(now, item(i+1, "a", time.Minute))
				q.Requeue(now, item(i+1000, "a", time.Hour))
				q.Dispatch(now, i+1)
				now = now.Add(interval)
			}
			for i := range uint64(200) {
				q.Remove(i + 1000)
			}
			for i := range tt.waiting {
				q.Requeue(epoch, item(uint64(i+5000), "a", time.Minute))
			}
			it := item(9999, "a", tt.left)
			it.Size, it.Expected = tt.size, tt.work
			is.Equal(q.Offer(epoch, it), tt.want)
		})
	}
}

// TestRemovedRank guards against the loss of accepted requests of a rank that is
// removed from the configuration.
func TestRemovedRank(t *testing.T) {
	is := is.New(t)
	q := admitter.New()
	q.Update([]patcher.Rank{rank("a", 0, 0), rank("b", 1, 0)})
	is.Equal(q.Offer(epoch, item(1, "b", time.Second)), classifier.OK)
	q.Update([]patcher.Rank{rank("a", 0, 0)})
	it, ok := q.Next()
	is.True(ok)
	is.Equal(it.ID, uint64(1))
}
