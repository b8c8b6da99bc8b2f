package bencher

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// refusalBound is the time within which a refusal as not run has to come.
const refusalBound = 10 * time.Millisecond

// Result is the measure of one run.
type Result struct {
	Ranks []RankResult
	// Probes and Extra count probes and attempts beyond the first of a request.
	Probes, Extra, Sheds, CloseIdle int
	// ProbesPerSecond is the most probes in any window of 1 s, all entries together.
	ProbesPerSecond int
	Violations      Violations
}

// RankResult is the measure of one rank.
type RankResult struct {
	Name                             string
	Offered, Answered, InTarget      int
	Wrong, RefusedEarly, RefusedLate int
	Unknown                          int
	target                           time.Duration
	latency                          *hdrhistogram.Histogram
	// Busy is the share of all slot time that the rank held.
	Busy float64
}

// Violations counts breaks of the invariants; all have to be 0.
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

// Rank returns the measure of the rank with the given name.
func (r *Result) Rank(name string) *RankResult {
	for i := range r.Ranks {
		if r.Ranks[i].Name == name {
			return &r.Ranks[i]
		}
	}
	return nil
}

// Quantile returns a latency of the answered requests; q is in percent.
func (r *RankResult) Quantile(q float64) time.Duration {
	return time.Duration(r.latency.ValueAtQuantile(q)) * time.Microsecond
}

// Served is the share of the offered requests that were answered correctly within the target.
func (r *RankResult) Served() float64 { return float64(r.InTarget) / float64(max(r.Offered, 1)) }

func (r *Result) offered(c *call) {
	if c.measured {
		r.Ranks[c.rank].Offered++
	}
}

func (r *Result) answered(c *call, now time.Time) {
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

func (r *Result) refused(c *call, now time.Time, notRun bool) {
	if notRun && c.ran {
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

func (r *Result) finish(w *world) {
	total := w.scenario.Length.Seconds() * w.scenario.Deployment.capacity()
	for i := range r.Ranks {
		for _, u := range w.upstreams {
			r.Ranks[i].Busy += u.busy[i].Seconds() / total
		}
	}
	r.Probes = len(w.probes)
	first := 0
	for i, t := range w.probes {
		for t.Sub(w.probes[first]) >= time.Second {
			first++
		}
		r.ProbesPerSecond = max(r.ProbesPerSecond, i-first+1)
	}
}
