package soaker

import (
	"net/http"
	"slices"
	"time"

	"github.com/azuretrestle/azuretrestle/platform/faker"
)

// Check returns the promises that a run broke, in the order of time.
func Check(t *Trace) []Violation {
	x := newIndex(t)
	var out []Violation
	for _, check := range []func(*index) []Violation{
		checkOnce, checkNotRun, checkAnswers, checkAsked, checkDrain, checkVersions, checkReverts,
		checkStops, checkTimeouts, checkRepeats, checkRecovery, checkExits,
	} {
		out = append(out, check(x)...)
	}
	slices.SortStableFunc(out, func(a, b Violation) int { return a.At.Compare(b.At) })
	return out
}

// checkOnce finds requests that ran twice though they must not.
func checkOnce(t *index) (out []Violation) {
	runs := t.runs
	for _, r := range t.Requests {
		if n := len(runs[r.ID]); r.onceOnly() && n > 1 {
			out = append(out, violation("Once", runs[r.ID][1].At, "request %s ran %d times", r.ID, n))
		}
	}
	return out
}

// checkNotRun finds requests that ran though their answer says that they did not.
func checkNotRun(t *index) (out []Violation) {
	runs := t.runs
	for _, r := range t.Requests {
		if r.onceOnly() && promisesNotRun(r.Status) && len(runs[r.ID]) > 0 {
			out = append(out, violation("NotRun", r.EndedAt, "request %s got status %d and ran at %s", r.ID, r.Status, runs[r.ID][0].Server))
		}
	}
	return out
}

func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// checkAnswers finds successes that are not the whole answer to the caller's own request.
func checkAnswers(t *index) (out []Violation) {
	runs := t.runs
	for _, r := range t.Requests {
		if r.Status != http.StatusOK {
			continue
		}
		own := slices.ContainsFunc(runs[r.ID], func(run faker.Run) bool {
			return run.Server == r.Stamp && run.Answer() == r.Answer
		})
		if !own {
			out = append(out, violation("Answer", r.EndedAt, "request %s got %q of %q", r.ID, r.Answer, r.Stamp))
		}
	}
	return out
}

// checkAsked finds runs of requests that no caller sent, or that were changed on the way.
func checkAsked(t *index) (out []Violation) {
	requests := t.requests
	for _, run := range t.Runs {
		r, ok := requests[run.ID]
		if !ok || r.Method != run.Method || r.Target != run.Target || r.Body != run.Body {
			out = append(out, violation("Asked", run.At, "%s ran %s %s with %d bytes as request %q", run.Server, run.Method, run.Target, run.Body, run.ID))
		}
	}
	return out
}

// checkDrain finds runs at upstreams that had left for longer than drainBound.
func checkDrain(t *index) (out []Violation) {
	left := make(map[string]time.Time)
	for _, d := range t.Departures {
		if _, ok := left[d.Upstream]; !ok {
			left[d.Upstream] = d.At
		}
	}
	requests := t.requests
	for _, run := range t.Runs {
		at, leaving := left[run.Server]
		r, ok := requests[run.ID]
		if !leaving || !ok || run.At.Sub(at) <= drainBound || !t.inTouch(r.Entry, run.At) || !t.storeStable(at) {
			continue
		}
		out = append(out, violation("Drain", run.At, "%s, which left %s before, ran request %s of entry %d", run.Server, run.At.Sub(at), r.ID, r.Entry))
	}
	return out
}

// checkVersions finds requests that were handled as only versions allow which
// were replaced more than configBound before.
func checkVersions(t *index) (out []Violation) {
	runs := t.runs
	for _, r := range t.Requests {
		if r.onceOnly() || !t.inTouch(r.Entry, r.SentAt) {
			continue
		}
		for _, run := range runs[r.ID] {
			if !slices.Contains(t.allowed(r.SentAt, run.At), run.Service) {
				out = append(out, violation("Version", run.At, "request %s of entry %d, sent at %s, ran at service %s", r.ID, r.Entry, r.SentAt.Sub(t.Begun), run.Service))
			}
		}
	}
	return out
}

// allowed returns the services that may run a request: that of the newest
// version in force when it was sent, and those of later versions.
func (t *Trace) allowed(sentAt, runAt time.Time) []string {
	var out []string
	for _, v := range t.Versions {
		if v.SentAt.After(runAt) {
			break
		}
		if sentAt.Sub(v.AckedAt) > configBound {
			out = nil
		}
		out = append(out, v.Service)
	}
	return out
}

// checkReverts finds entries that handle a request by an older version than
// one whose effect was seen before. For each entry it follows the lowest
// version that explains all that was seen.
func checkReverts(t *index) (out []Violation) {
	type effect struct {
		at     time.Time
		number int
	}
	// seen holds the effects by entry and start of the process.
	seen := make(map[int][]effect)
	requests := t.requests
	for _, run := range t.Runs {
		r, ok := requests[run.ID]
		if !ok || r.onceOnly() || !t.known(run) {
			continue
		}
		least := 0
		for _, e := range seen[r.Entry] {
			if e.at.Add(revertSlack).Before(r.SentAt) && !t.restarted(r.Entry, e.at, r.SentAt) {
				least = max(least, e.number)
			}
		}
		i := slices.IndexFunc(t.Versions, func(v Version) bool {
			return v.Number >= least && v.Service == run.Service && !v.SentAt.After(run.At)
		})
		if i < 0 {
			out = append(out, violation("Revert", run.At, "entry %d ran request %s at %s after version %d", r.Entry, r.ID, run.Service, least))
			continue
		}
		if n := t.Versions[i].Number; len(seen[r.Entry]) == 0 || n > seen[r.Entry][len(seen[r.Entry])-1].number {
			seen[r.Entry] = append(seen[r.Entry], effect{run.At, n})
		}
	}
	return out
}

// known reports whether some version sends requests to the service of a run.
func (t *Trace) known(run faker.Run) bool {
	return slices.ContainsFunc(t.Versions, func(v Version) bool {
		return v.Service == run.Service && !v.SentAt.After(run.At)
	})
}

// restarted reports whether an entry may have started anew between two times, or was slowed.
func (t *Trace) restarted(entry int, from, until time.Time) bool {
	return slices.ContainsFunc(t.Disturbances, func(d Disturbance) bool {
		return !d.Store && d.touches(entry, from, until)
	})
}

// checkStops finds requests that an entry took and that ended without an
// answer during a planned stop or reload, with nothing else in the way.
func checkStops(t *index) (out []Violation) {
	runs := t.runs
	for _, r := range t.Requests {
		broken := slices.ContainsFunc(runs[r.ID], func(run faker.Run) bool { return run.Broken || t.crashed(run, r.EndedAt) })
		if r.Status != 0 || r.GaveUp || len(runs[r.ID]) == 0 || broken {
			continue
		}
		planned, unplanned := false, false
		for _, d := range t.Disturbances {
			if d.Store || !d.touches(r.Entry, r.SentAt.Add(-contact), r.EndedAt) {
				continue
			}
			planned = planned || d.Planned
			unplanned = unplanned || !d.Planned
		}
		if planned && !unplanned {
			out = append(out, violation("Stop", r.EndedAt, "entry %d cut request %s, sent at %s", r.Entry, r.ID, r.SentAt.Sub(t.Begun)))
		}
	}
	return out
}

// crashed reports whether the upstream of a run crashed before a time.
func (t *Trace) crashed(run faker.Run, until time.Time) bool {
	at, ok := t.Crashes[run.Server]
	return ok && at.Before(until)
}

// checkTimeouts finds requests without an answer at the timeout of their route.
func checkTimeouts(t *index) (out []Violation) {
	for _, r := range t.Requests {
		took := r.EndedAt.Sub(r.SentAt)
		if took > r.timeout()+timeoutSlack && t.inTouch(r.Entry, r.SentAt) && t.inTouch(r.Entry, r.EndedAt) {
			out = append(out, violation("Timeout", r.EndedAt, "request %s of entry %d took %s", r.ID, r.Entry, took))
		}
	}
	return out
}

// checkRepeats finds windows in which a service got more second arrivals than the budget allows.
func checkRepeats(t *index) (out []Violation) {
	first := make(map[string]bool)
	repeats := make(map[string][]time.Time)
	for _, run := range t.Runs {
		if first[run.ID] {
			repeats[run.Service] = append(repeats[run.Service], run.At)
		}
		first[run.ID] = true
	}
	for service, times := range repeats {
		from := 0
		for i, at := range times {
			for at.Sub(times[from]) > repeatWindow {
				from++
			}
			arrivals := 0
			for _, run := range t.Runs {
				if run.Service == service && run.At.After(at.Add(-2*repeatWindow)) && !run.At.After(at) {
					arrivals++
				}
			}
			if n := i - from + 1; float64(n) > repeatRatio*float64(arrivals)+repeatSlack {
				out = append(out, violation("Repeats", at, "%d repeats at %s within %s", n, service, repeatWindow))
				break
			}
		}
	}
	return out
}

// checkRecovery finds a run after whose faults too few requests are served.
func checkRecovery(t *index) []Violation {
	var last time.Time
	for _, d := range t.Disturbances {
		if d.Until.IsZero() {
			return nil
		}
		if d.Until.After(last) {
			last = d.Until
		}
	}
	if last.IsZero() {
		return nil
	}
	sent, served := 0, 0
	for _, r := range t.Requests {
		if r.SentAt.Sub(last) <= recoverBound {
			continue
		}
		sent++
		if r.Status == http.StatusOK {
			served++
		}
	}
	if float64(served) < recoverShare*float64(sent) {
		return []Violation{violation("Recovery", last, "%d of %d requests were served later than %s after the last fault", served, sent, recoverBound)}
	}
	return nil
}

// checkExits finds processes that ended by themselves, late or with an error.
func checkExits(t *index) (out []Violation) {
	for _, e := range t.Exits {
		out = append(out, violation("Exit", e.At, "entry %d: %s", e.Entry, e.Detail))
	}
	return out
}
