package loader

import (
	"fmt"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report is the result of a run.
type Report struct {
	Begin    time.Time
	Duration time.Duration
	Seed     uint64
	Ranks    []RankReport
	// Broken lists the violations of invariants that the load generator detected.
	Broken []string
	series []series
}

// RankReport is the result of one rank.
type RankReport struct {
	Service string
	Rank    string
	Offered int
	// Within counts correct responses within the target, Late slower ones.
	Within  int
	Late    int
	Wrong   int
	NotRun  int
	Unknown int
	// NotSent counts requests that the generator couldn't start; Offered includes them.
	NotSent int
	// P50, P99, P999 and Max are latencies of correct responses from the intended start, in nanoseconds.
	P50  time.Duration
	P99  time.Duration
	P999 time.Duration
	Max  time.Duration
	// Codes counts the result codes of requests without a response.
	Codes map[string]int
	// Executions counts requests by their number of executions; nil if that wasn't counted.
	Executions map[int]int `json:",omitempty"`
	// Uncounted counts requests whose number of executions could not be read.
	Uncounted int
}

// Share returns the share of offered requests that were answered correctly within the target.
func (r RankReport) Share() float64 {
	if r.Offered == 0 {
		return 0
	}
	return float64(r.Within) / float64(r.Offered)
}

const (
	// maxBroken bounds the number of violations that are listed.
	maxBroken = 50
	// Histograms cover 1 microsecond to 10 minutes with 3 significant digits.
	histogramMax    = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

func (r *run) report() *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	rep := &Report{Begin: r.begin, Duration: r.options.Duration, Seed: r.options.Seed, Broken: []string{}}
	slices.SortFunc(r.results, func(a, b result) int { return a.at.Compare(b.at) })
	for i, rank := range r.options.Ranks {
		rep.Ranks = append(rep.Ranks, r.rankReport(i, rank, rep))
		rep.series = append(rep.series, newSeries(r.begin, i, rank, r.results))
	}
	return rep
}

// rankReport returns the report of the rank at an index and adds the violations to rep.
func (r *run) rankReport(index int, rank Rank, rep *Report) RankReport {
	out := RankReport{Service: rank.Service, Rank: rank.Name, Codes: make(map[string]int)}
	h := hdrhistogram.New(1, histogramMax, histogramDigits)
	for _, res := range r.results {
		if res.rank != index {
			continue
		}
		out.add(rank, res, h)
		if res.class == classWrong {
			rep.addBroken("wrong answer to %s/%s: %s", rank.Service, rank.Name, res.detail)
		}
		if r.options.Runs != nil && res.key != "" {
			r.countExecutions(&out, rank, res, rep)
		}
	}
	at := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond }
	out.P50 = at(50)
	out.P99 = at(99)
	out.P999 = at(99.9)
	out.Max = time.Duration(h.Max()) * time.Microsecond
	return out
}

func (r *RankReport) add(rank Rank, res result, h *hdrhistogram.Histogram) {
	r.Offered++
	switch res.class {
	case classCorrect:
		_ = h.RecordValue(min(res.latency.Microseconds(), histogramMax))
		if res.latency <= rank.Target {
			r.Within++
		} else {
			r.Late++
		}
	case classWrong:
		r.Wrong++
	case classNotRun:
		r.NotRun++
		r.Codes[res.code.String()]++
	case classUnknown:
		r.Unknown++
		r.Codes[res.code.String()]++
	case classNotSent:
		r.NotSent++
	}
}

// countExecutions counts a request by its number of executions, and adds a violation to
// rep if that number contradicts the result at the caller.
func (r *run) countExecutions(out *RankReport, rank Rank, res result, rep *Report) {
	runs, err := r.options.Runs(res.key)
	if err != nil {
		out.Uncounted++
		return
	}
	if out.Executions == nil {
		out.Executions = make(map[int]int)
	}
	out.Executions[runs]++
	if rank.OnceOnly && runs > 1 {
		rep.addBroken("%s/%s: key %s ran %d times", rank.Service, rank.Name, res.key, runs)
	}
	if res.class == classNotRun && runs > 0 {
		rep.addBroken("%s/%s: key %s was refused as not run with %s and ran", rank.Service, rank.Name, res.key, res.code)
	}
	if res.class == classCorrect && runs == 0 {
		rep.addBroken("%s/%s: key %s was answered and never ran", rank.Service, rank.Name, res.key)
	}
}

// addBroken adds a violation, unless maxBroken are listed already.
func (rep *Report) addBroken(format string, args ...any) {
	if len(rep.Broken) < maxBroken {
		rep.Broken = append(rep.Broken, fmt.Sprintf(format, args...))
	}
}
