package reducer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azuretrestle/azuretrestle/internal/gossiper"
	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

// maxPerSecond returns the largest number of times within any window of 1 s.
func maxPerSecond(times []time.Time) (n int) {
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

// TestProbeBudget guards against all entries together exceeding the probe budget
// in any window of 1 s: in normal operation, after a pause or a restart, and with a
// budget that does not divide evenly. TestProbeAfterChange covers a change of the budget.
func TestProbeBudget(t *testing.T) {
	for _, budget := range []float64{0, 7, 8, 15, 48, 100} {
		is := is.New(t)
		s := testService(20)
		s.MeasuringBudget = budget
		benches := make([]*testBench, s.MaxEntries)
		for i := range benches {
			benches[i] = newTestBench(t, s, uint64(i))
		}
		var times []time.Time
		run := func(d time.Duration) {
			start := benches[0].now
			for i, b := range benches {
				for end := start.Add(d); b.now.Before(end); {
					b.now = b.now.Add(time.Duration(1+i%3) * time.Millisecond)
					for range effectsOf[Probe](b.step(TimerFired{Stamp{b.now}})) {
						times = append(times, b.now)
					}
				}
				b.now = start.Add(d)
			}
		}
		countProbes := func() int {
			count := len(times)
			run(3 * time.Second)
			return len(times) - count
		}
		is.True(countProbes() <= int(2*budget)) // none in the first second
		benches[0].now = benches[0].now.Add(700 * time.Millisecond)
		for _, b := range benches {
			b.now = benches[0].now // all entries pause
		}
		countProbes()
		now := benches[1].now
		benches[1] = newTestBench(t, s, 99) // restart
		benches[1].now = now
		benches[1].node.Step(TimerFired{Stamp{now}})
		countProbes()
		is.True(maxPerSecond(sortedTimes(times)) <= int(budget))
		if budget >= float64(s.MaxEntries) {
			is.True(len(times) > 0)
		}
	}
}

func sortedTimes(times []time.Time) []time.Time {
	out := append([]time.Time(nil), times...)
	for i := range out {
		for j := i; j > 0 && out[j].Before(out[j-1]); j-- {
			out[j], out[j-1] = out[j-1], out[j]
		}
	}
	return out
}

// TestProbePosition guards against probes by more entries than the budget is divided by.
func TestProbePosition(t *testing.T) {
	is := is.New(t)
	s := testService(5)
	s.MaxEntries = 2
	b := newTestBench(t, s, 1)
	b.node.view.Put(gossiper.Entry{Name: "a1", Incarnation: 1, State: gossiper.Alive, HeardAt: b.node.now})
	is.True(len(effectsOf[Probe](b.wait(3*time.Second))) > 0)
	b.node.view.Put(gossiper.Entry{Name: "a2", Incarnation: 1, State: gossiper.Alive, HeardAt: b.node.now})
	is.Equal(len(effectsOf[Probe](b.wait(3*time.Second))), 0)
}

// TestProbeAfterChange guards against probes at the new rate while other entries may
// still use the old one.
func TestProbeAfterChange(t *testing.T) {
	is := is.New(t)
	s := testService(5)
	b := newTestBench(t, s, 1)
	b.wait(2 * time.Second)
	s.MeasuringBudget = 80
	b.configure(patcher.PutService{Service: s})
	is.Equal(len(effectsOf[Probe](b.wait(6*time.Second))), 0)
	is.True(len(effectsOf[Probe](b.wait(2*time.Second))) > 0)
}
