package bencher

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// refusalBound is the time within which a refusal as not run counts as early.
const refusalBound = 10 * time.Millisecond

// Result holds the measurements of one run.
type Result struct {
	Ranks []RankResult
	// Probes counts probes; Extra counts attempts beyond the first of each request.
	Probes, Extra, Sheds, CloseIdle int
	// ProbesPerSecond is the largest number of probes of all entries together in any window of 1 s.
	ProbesPerSecond int
	Violations      Violations
}

// RankResult holds the measurements of one rank.
type RankResult struct {
	Name                             string
	Offered, Answered, InTarget      int
	Wrong, RefusedEarly, RefusedLate int
	Unknown                          int
	target                           time.Duration
	latency                          *hdrhistogram.Histogram
	// Busy is the share of the total slot time that the rank used.
	Busy float64
}

// Violations counts violations of the invariants; all must be 0.
type Violations struct {
	SameUpstream, LateDrain, TwoAnswers, NotRunButRan int
}

func newResult(d Deployment) *Result {
	r := &Result{}
	for _, k := range d.Ranks {
		h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
		r.Ranks = append(r.Ranks, RankResult{Name: k.Name, target: k.Target.Duration, latency: h})
	}
	return r
}

// Rank returns the result of the rank with the given name.
func (r *Result) Rank(name string) *RankResult {
	for i := range r.Ranks {
		if r.Ranks[i].Name == name {
			return &r.Ranks[i]
		}
	}
	return nil
}

// Quantile returns a latency quantile of the answered requests; q is in percent.
func (r *RankResult) Quantile(q float64) time.Duration {
	return time.Duration(r.latency.ValueAtQuantile(q)) * time.Microsecond
}

// Served returns the share of the offered requests that were answered correctly within the target.
func (r *RankResult) Served() float64 { return float64(r.InTarget) / float64(max(r.Offered, 1)) }

func (r *Result) countOffered(c *call) {
	if c.measured {
		r.Ranks[c.rank].Offered++
	}
}

func (r *Result) countAnswered(c *call, now time.Time) {
	if !c.measured {
		return
	}
	k := &r.Ranks[c.rank]
	r.Extra += c.attempts - 1
	if c.failed {
		k.Wrong++
		return
	}
	took := now.Sub(c.arrived)
	k.Answered++
	_ = k.latency.RecordValue(max(took.Microseconds(), 1))
	if took <= k.target {
		k.InTarget++
	}
}

func (r *Result) countRefused(c *call, now time.Time, notRun bool) {
	if notRun && c.executed {
		r.Violations.NotRunButRan++
	}
	if !c.measured {
		return
	}
	k := &r.Ranks[c.rank]
	r.Extra += max(c.attempts-1, 0)
	switch {
	case !notRun:
		k.Unknown++
	case now.Sub(c.arrived) <= refusalBound:
		k.RefusedEarly++
	default:
		k.RefusedLate++
	}
}

func (r *Result) finish(sim *simulation) {
	total := sim.scenario.Length.Seconds() * sim.scenario.Deployment.capacity()
	for i := range r.Ranks {
		for _, u := range sim.upstreams {
			r.Ranks[i].Busy += u.busyTime[i].Seconds() / total
		}
	}
	r.Probes = len(sim.probes)
	first := 0
	for i, t := range sim.probes {
		for t.Sub(sim.probes[first]) >= time.Second {
			first++
		}
		r.ProbesPerSecond = max(r.ProbesPerSecond, i-first+1)
	}
}
