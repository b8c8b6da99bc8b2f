package reducer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azuretrestle/azuretrestle/internal/gossiper"
	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

// most returns the largest number of times in any window of 1 s.
func most(times []time.Time) (n int) {
	for i := range times {
		count := 0
		for _, t := range times[i:] {
			if t.Sub(times[i]) < time.Second {
				count++
			}
		}
		n = max(n, count)
	}
	return n
}

// TestProbeBudget guards against probes beyond the budget in any window of 1 s,
// all entries together: in regular work, after a pause, a restart or a change of
// the budget, and with a budget that does not divide evenly.
func TestProbeBudget(t *testing.T) {
	for _, budget := range []float64{0, 7, 8, 15, 48, 100} {
		is := is.New(t)
		s := testService(20)
		s.MeasuringBudget = budget
		beds := make([]*bed, s.MaxEntries)
		for i := range beds {
			beds[i] = newBed(t, s, uint64(i))
		}
		var times []time.Time
		run := func(d time.Duration) {
			start := beds[0].now
			for i, b := range beds {
				for end := start.Add(d); b.now.Before(end); {
					b.now = b.now.Add(time.Duration(1+i%3) * time.Millisecond)
					for range find[Probe](b.step(TimerFired{Stamp{b.now}})) {
						times = append(times, b.now)
					}
				}
				b.now = start.Add(d)
			}
		}
		regular := func() int {
			count := len(times)
			run(3 * time.Second)
			return len(times) - count
		}
		is.True(regular() <= int(2*budget)) // none in the first second
		beds[0].now = beds[0].now.Add(700 * time.Millisecond)
		for _, b := range beds {
			b.now = beds[0].now // all pause
		}
		regular()
		now := beds[1].now
		beds[1] = newBed(t, s, 99) // restart
		beds[1].now = now
		beds[1].node.Step(TimerFired{Stamp{now}})
		regular()
		is.True(most(sorted(times)) <= int(budget))
		if budget >= float64(s.MaxEntries) {
			is.True(len(times) > 0)
		}
	}
}

func sorted(times []time.Time) []time.Time {
	out := append([]time.Time(nil), times...)
	for i := range out {
		for j := i; j > 0 && out[j].Before(out[j-1]); j-- {
			out[j], out[j-1] = out[j-1], out[j]
		}
	}
	return out
}

// TestProbePosition guards against probes of more entries than share the budget.
func TestProbePosition(t *testing.T) {
	is := is.New(t)
	s := testService(5)
	s.MaxEntries = 2
	b := newBed(t, s, 1)
	b.node.view.Put(gossiper.Entry{Name: "a1", Incarnation: 1, State: gossiper.Alive, HeardAt: b.node.now})
	is.True(len(find[Probe](b.wait(3*time.Second))) > 0)
	b.node.view.Put(gossiper.Entry{Name: "a2", Incarnation: 1, State: gossiper.Alive, HeardAt: b.node.now})
	is.Equal(len(find[Probe](b.wait(3*time.Second))), 0)
}

// TestProbeAfterChange guards against probes by the new share while other entries may use the old one.
func TestProbeAfterChange(t *testing.T) {
	is := is.New(t)
	s := testService(5)
	b := newBed(t, s, 1)
	b.wait(2 * time.Second)
	s.MeasuringBudget = 80
	b.configure(patcher.PutService{Service: s})
	is.Equal(len(find[Probe](b.wait(6*time.Second))), 0)
	is.True(len(find[Probe](b.wait(2*time.Second))) > 0)
}
