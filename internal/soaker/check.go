package soaker

import (
	"net/http"
	"slices"
	"time"

	"github.com/azuretrestle/azuretrestle/platform/faker"
)

// Check returns the violations of all promises in a trace, ordered by time.
func Check(t *Trace) []Violation {
	x := newIndex(t)
	var out []Violation
	for _, check := range []func(*index) []Violation{
		checkOnce, checkNotRun, checkAnswers, checkAsked, checkDrain, checkVersions, checkReverts,
		checkStops, checkTimeouts, checkRetries, checkRecovery, checkExits, checkUsage,
	} {
		out = append(out, check(x)...)
	}
	slices.SortStableFunc(out, func(a, b Violation) int { return a.At.Compare(b.At) })
	return out
}

// checkOnce finds once-only requests that were executed more than once.
func checkOnce(t *index) (out []Violation) {
	runs := t.runs
	for _, r := range t.Requests {
		if n := len(runs[r.ID]); r.onceOnly() && n > 1 {
			out = append(out, violation("Once", runs[r.ID][1].At, "request %s ran %d times", r.ID, n))
		}
	}
	return out
}

// checkNotRun finds once-only requests that were executed although the response status says that they were not.
func checkNotRun(t *index) (out []Violation) {
	runs := t.runs
	for _, r := range t.Requests {
		if r.onceOnly() && claimsNotRun(r.Status) && len(runs[r.ID]) > 0 {
			out = append(out, violation("NotRun", r.EndedAt, "request %s got status %d and ran at %s", r.ID, r.Status, runs[r.ID][0].Server))
		}
	}
	return out
}

// claimsNotRun reports whether a response status says that the request was not executed.
func claimsNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// checkAnswers finds successful responses that are truncated or belong to another request.
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
			out = append(out, violation("Answer", r.EndedAt, "request %s got response %q from %q", r.ID, r.Answer, r.Stamp))
		}
	}
	return out
}

// checkAsked finds executed requests that no caller sent, or that were altered in transit.
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

// checkDrain finds requests executed by an upstream more than drainBound after its departure.
func checkDrain(t *index) (out []Violation) {
	departedAt := make(map[string]time.Time)
	for _, d := range t.Departures {
		if _, ok := departedAt[d.Upstream]; !ok {
			departedAt[d.Upstream] = d.At
		}
	}
	requests := t.requests
	for _, run := range t.Runs {
		at, departed := departedAt[run.Server]
		r, ok := requests[run.ID]
		if !departed || !ok || run.At.Sub(at) <= drainBound || !t.undisturbed(r.Entry, run.At) || !t.storeStable(at) {
			continue
		}
		out = append(out, violation("Drain", run.At, "%s, which departed %s earlier, ran request %s of entry %d", run.Server, run.At.Sub(at), r.ID, r.Entry))
	}
	return out
}

// checkVersions finds requests that were routed by a configuration version that
// had been replaced more than configBound before.
func checkVersions(t *index) (out []Violation) {
	runs := t.runs
	for _, r := range t.Requests {
		if r.onceOnly() || !t.undisturbed(r.Entry, r.SentAt) {
			continue
		}
		for _, run := range runs[r.ID] {
			if !slices.Contains(t.allowedServices(r.SentAt, run.At), run.Service) {
				out = append(out, violation("Version", run.At, "request %s of entry %d, sent at %s, ran at service %s", r.ID, r.Entry, r.SentAt.Sub(t.Begun), run.Service))
			}
		}
	}
	return out
}

// allowedServices returns the services that may execute a request: the service of the
// newest version in force when it was sent, and those of later versions.
func (t *Trace) allowedServices(sentAt, runAt time.Time) []string {
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

// checkReverts finds entries that route a request by an older version than one
// that they used before. For each entry it tracks the lowest version that is
// consistent with all requests so far.
func checkReverts(t *index) (out []Violation) {
	type effect struct {
		at     time.Time
		number int
	}
	// seen holds the increases of the version by entry, in order of time.
	seen := make(map[int][]effect)
	requests := t.requests
	for _, run := range t.Runs {
		r, ok := requests[run.ID]
		if !ok || r.onceOnly() || !t.hasVersionFor(run) {
			continue
		}
		minVersion := 0
		for _, e := range seen[r.Entry] {
			if e.at.Add(revertSlack).Before(r.SentAt) && !t.restarted(r.Entry, e.at, r.SentAt) {
				minVersion = max(minVersion, e.number)
			}
		}
		i := slices.IndexFunc(t.Versions, func(v Version) bool {
			return v.Number >= minVersion && v.Service == run.Service && !v.SentAt.After(run.At)
		})
		if i < 0 {
			out = append(out, violation("Revert", run.At, "entry %d routed request %s to service %s after version %d", r.Entry, r.ID, run.Service, minVersion))
			continue
		}
		if n := t.Versions[i].Number; len(seen[r.Entry]) == 0 || n > seen[r.Entry][len(seen[r.Entry])-1].number {
			seen[r.Entry] = append(seen[r.Entry], effect{run.At, n})
		}
	}
	return out
}

// hasVersionFor reports whether a version written before a run routes requests to the service of the run.
func (t *Trace) hasVersionFor(run faker.Run) bool {
	return slices.ContainsFunc(t.Versions, func(v Version) bool {
		return v.Service == run.Service && !v.SentAt.After(run.At)
	})
}

// restarted reports whether an entry may have restarted or been slowed down between two times.
func (t *Trace) restarted(entry int, from, until time.Time) bool {
	return slices.ContainsFunc(t.Disturbances, func(d Disturbance) bool {
		return !d.Store && d.overlaps(entry, from, until)
	})
}

// checkStops finds requests that an entry had accepted and that got no response
// during a planned stop or reload, with no other disturbance in that time.
func checkStops(t *index) (out []Violation) {
	runs := t.runs
	for _, r := range t.Requests {
		broken := slices.ContainsFunc(runs[r.ID], func(run faker.Run) bool { return run.Broken || t.crashed(run, r.EndedAt) })
		if r.Status != 0 || r.GaveUp || len(runs[r.ID]) == 0 || broken {
			continue
		}
		planned, unplanned := false, false
		for _, d := range t.Disturbances {
			if d.Store || !d.overlaps(r.Entry, r.SentAt.Add(-settlePeriod), r.EndedAt) {
				continue
			}
			planned = planned || d.Planned
			unplanned = unplanned || !d.Planned
		}
		if planned && !unplanned {
			out = append(out, violation("Stop", r.EndedAt, "entry %d dropped request %s, sent at %s", r.Entry, r.ID, r.SentAt.Sub(t.Begun)))
		}
	}
	return out
}

// crashed reports whether the upstream that executed a request crashed before a time.
func (t *Trace) crashed(run faker.Run, until time.Time) bool {
	at, ok := t.Crashes[run.Server]
	return ok && at.Before(until)
}

// checkTimeouts finds requests that ended later than their route's timeout plus timeoutSlack.
func checkTimeouts(t *index) (out []Violation) {
	for _, r := range t.Requests {
		took := r.EndedAt.Sub(r.SentAt)
		if took > r.timeout()+timeoutSlack && t.undisturbed(r.Entry, r.SentAt) && t.undisturbed(r.Entry, r.EndedAt) {
			out = append(out, violation("Timeout", r.EndedAt, "request %s of entry %d took %s", r.ID, r.Entry, took))
		}
	}
	return out
}

// checkRetries finds windows in which a service got more retries than the retry budget allows.
func checkRetries(t *index) (out []Violation) {
	first := make(map[string]bool)
	retries := make(map[string][]time.Time)
	for _, run := range t.Runs {
		if first[run.ID] {
			retries[run.Service] = append(retries[run.Service], run.At)
		}
		first[run.ID] = true
	}
	for service, times := range retries {
		from := 0
		for i, at := range times {
			for at.Sub(times[from]) > retryWindow {
				from++
			}
			arrivals := 0
			for _, run := range t.Runs {
				if run.Service == service && run.At.After(at.Add(-2*retryWindow)) && !run.At.After(at) {
					arrivals++
				}
			}
			if n := i - from + 1; float64(n) > retryRatio*float64(arrivals)+retrySlack {
				out = append(out, violation("Repeats", at, "%d retries at %s within %s", n, service, retryWindow))
				break
			}
		}
	}
	return out
}

// checkRecovery reports a run in which too few requests succeed after the last fault.
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
		if r.SentAt.Sub(last) <= recoveryBound {
			continue
		}
		sent++
		if r.Status == http.StatusOK {
			served++
		}
	}
	if float64(served) < recoveryShare*float64(sent) {
		return []Violation{violation("Recovery", last, "%d of %d requests were served later than %s after the last fault", served, sent, recoveryBound)}
	}
	return nil
}

// checkExits finds processes that exited unexpectedly, late or with an error.
func checkExits(t *index) (out []Violation) {
	for _, e := range t.Exits {
		out = append(out, violation("Exit", e.At, "entry %d: %s", e.Entry, e.Detail))
	}
	return out
}
