package admitter

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azuretrestle/azuretrestle/pkg/classifier"
	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

// dueQueue returns an empty queue with the ranks urgent and bulk.
func dueQueue() *Queue {
	q := New()
	q.Update([]patcher.Rank{
		{Name: "urgent", Urgency: 0, MaxQueue: 10, Target: patcher.Period{Duration: time.Second}},
		{Name: "bulk", Urgency: 1, MaxQueue: 10, Target: patcher.Period{Duration: time.Second}},
	})
	return q
}

// dueItem returns a request that is late from 100 ms before due.
func dueItem(id uint64, rank string, due time.Time) Item {
	return Item{ID: id, Rank: rank, Due: due, Deadline: due.Add(time.Minute), Expected: 100 * time.Millisecond}
}

// TestEvictLate guards against requests that can no longer meet their target and delay
// those that can.
func TestEvictLate(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	q := dueQueue()
	is.Equal(q.Offer(now, dueItem(1, "urgent", now.Add(150*time.Millisecond))), classifier.OK)
	is.Equal(len(q.EvictLate(now)), 0)
	later := now.Add(60 * time.Millisecond)
	is.Equal(len(q.EvictLate(later)), 0) // late now, but nothing else waits
	is.Equal(q.Offer(later, dueItem(2, "bulk", later.Add(time.Second))), classifier.OK)
	evicted := q.EvictLate(later)
	is.Equal(len(evicted), 1)
	is.Equal(evicted[0].ID, uint64(1))
	it, ok := q.Next()
	is.True(ok)
	is.Equal(it.ID, uint64(2))
	is.Equal(q.Offer(later, dueItem(3, "urgent", later)), classifier.DeadlineUnreachable) // late on arrival
	is.Equal(q.Waiting(), 1)
}

// TestTimelyBeforeLate guards against a late request of an urgent rank that is dispatched
// before a timely one of another rank.
func TestTimelyBeforeLate(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	q := dueQueue()
	is.Equal(q.Offer(now, dueItem(1, "urgent", now)), classifier.OK)
	is.Equal(q.Offer(now, Item{ID: 2, Rank: "bulk", Deadline: now.Add(time.Minute)}), classifier.OK)
	it, _ := q.Next()
	is.Equal(it.ID, uint64(2))
}
