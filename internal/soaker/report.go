package soaker

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"time"
)

// Report summarises a run.
type Report struct {
	Violations []Violation
	// Outcomes counts the requests by HTTP status; "none" counts those without a
	// response, "left" those that the caller gave up.
	Outcomes map[string]int
	Requests int
	// InTouch counts the requests to undisturbed entries, to which the time bounds apply.
	InTouch   int
	Runs      int
	Faults    int
	Versions  int
	Usages    []EntryUsage
	startedAt time.Time
}

func newReport(t *Trace, steps []Step) *Report {
	r := &Report{
		Violations: Check(t), Outcomes: make(map[string]int), Requests: len(t.Requests), Runs: len(t.Runs),
		Faults: len(steps), Versions: len(t.Versions), Usages: t.Usages, startedAt: t.Begun,
	}
	for _, q := range t.Requests {
		r.Outcomes[q.outcome()]++
		if t.undisturbed(q.Entry, q.SentAt) {
			r.InTouch++
		}
	}
	return r
}

func (r Request) outcome() string {
	switch {
	case r.GaveUp:
		return "left"
	case r.Status == 0:
		return "none"
	default:
		return strconv.Itoa(r.Status)
	}
}

// Write writes the report as text.
func (r *Report) Write(w io.Writer) {
	_, _ = fmt.Fprintf(w, "%d requests, %d at entries in touch, %d runs, %d faults, %d versions; by outcome:", r.Requests, r.InTouch, r.Runs, r.Faults, r.Versions)
	for _, name := range slices.Sorted(maps.Keys(r.Outcomes)) {
		_, _ = fmt.Fprintf(w, " %s %d", name, r.Outcomes[name])
	}
	_, _ = fmt.Fprintln(w)
	for _, u := range r.Usages {
		_, _ = fmt.Fprintf(w, "entry %d: at its start %+v, under load %+v, idle %+v\n", u.Entry, u.Start, u.Loaded, u.Idle)
	}
	for _, v := range r.Violations {
		_, _ = fmt.Fprintf(w, "BROKEN %s at %.3f: %s\n", v.Promise, v.At.Sub(r.startedAt).Seconds(), v.Detail)
	}
}
