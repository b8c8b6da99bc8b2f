package checker

import (
	"bytes"

	"github.com/azuretrestle/azuretrestle/internal/reducer"
	"github.com/azuretrestle/azuretrestle/pkg/classifier"
)

// attemptKey identifies an attempt across all nodes of a trace.
type attemptKey struct {
	request requestKey
	number  uint32
}

func (s Step) attempt(a reducer.AttemptID) attemptKey {
	return attemptKey{s.request(a.Request), a.Number}
}

// responseTracker tracks which requests have arrived, which attempts have a response and
// which requests have ended.
type responseTracker struct {
	arrivals map[requestKey]reducer.RequestArrived
	arrived  map[requestKey]bool
	ended    map[requestKey]bool
	answered map[attemptKey]bool
	byKey    map[string][]keyedResponse
}

// keyedResponse is a complete response to a request with a key, and the digest of the request's body.
type keyedResponse struct {
	reducer.UpstreamAnswered
	digest uint64
}

// checkResponses checks I2: a request ends once, a relayed response belongs to an
// attempt of the request, and a stored response belongs to the same key and body.
func checkResponses(t Trace, _ Limits) []Violation {
	rt := responseTracker{
		arrivals: arrivals(t), arrived: make(map[requestKey]bool), ended: make(map[requestKey]bool),
		answered: make(map[attemptKey]bool), byKey: make(map[string][]keyedResponse),
	}
	var out []Violation
	for s := range steps(t) {
		rt.observe(s)
		for _, e := range s.Effects {
			if problem := rt.check(s, e); problem != "" {
				out = append(out, s.violation("I2", "%s: %+v", problem, e))
			}
		}
	}
	return out
}

// observe records the event of a step.
func (rt *responseTracker) observe(s Step) {
	switch ev := s.Event.(type) {
	case reducer.RequestArrived:
		rt.arrived[s.request(ev.ID)] = true
	case reducer.UpstreamAnswered:
		if ev.NotRun {
			return
		}
		rt.answered[s.attempt(ev.Attempt)] = true
		r := rt.arrivals[s.request(ev.Attempt.Request)]
		if r.Key != "" && ev.Whole {
			rt.byKey[r.Key] = append(rt.byKey[r.Key], keyedResponse{ev, r.BodyDigest})
		}
	}
}

// check returns how an effect violates I2, or an empty string if it doesn't.
func (rt *responseTracker) check(s Step, e reducer.Effect) string {
	id, ok := endedRequest(e)
	if !ok {
		return ""
	}
	r := s.request(id)
	if !rt.arrived[r] {
		return "response to a request that did not arrive"
	}
	if rt.ended[r] {
		return "second response to a request"
	}
	rt.ended[r] = true
	switch e := e.(type) {
	case reducer.Relay:
		if !rt.answered[s.attempt(e.Attempt)] {
			return "relay of an attempt without a response"
		}
	case reducer.AnswerStored:
		if !rt.wasReturned(rt.arrivals[r], e) {
			return "stored response that no upstream returned for this key and body"
		}
	}
	return ""
}

// wasReturned reports whether an upstream returned the stored response to a request with the same key and body.
func (rt *responseTracker) wasReturned(r reducer.RequestArrived, e reducer.AnswerStored) bool {
	for _, have := range rt.byKey[r.Key] {
		same := have.Status == e.Status && have.ContentType == e.ContentType && bytes.Equal(have.Body, e.Body)
		if same && have.digest == r.BodyDigest {
			return true
		}
	}
	return false
}

// checkNotRun checks I3. If a once-only request is refused as not run, no
// request with its key may be executed, before or after the refusal. If the caller
// marked the request as a first attempt, all others with the key are later ones,
// and only the request itself must not be executed.
func checkNotRun(t Trace, _ Limits) []Violation {
	requests := arrivals(t)
	ran := make(map[requestKey]bool)
	byKey := make(map[string][]requestKey)
	for _, r := range t {
		if r, ok := r.(Execution); ok {
			key := requests[r.request()].Key
			ran[r.request()] = true
			byKey[key] = append(byKey[key], r.request())
		}
	}
	var out []Violation
	for s := range steps(t) {
		for _, e := range s.Effects {
			refusal, ok := e.(reducer.Refuse)
			if !ok || refusal.Outcome != classifier.OutcomeNotRun {
				continue
			}
			self := s.request(refusal.ID)
			if ran[self] {
				out = append(out, s.violation("I3", "request %d was executed", refusal.ID))
			}
			key := requests[self].Key
			for _, other := range byKey[key] {
				if key != "" && other != self && !requests[self].FirstAttempt {
					out = append(out, s.violation("I3", "key %s was executed through request %d on %s", key, other.id, other.node))
				}
			}
		}
	}
	return out
}

// checkOnceOnly checks I4: no once-only key is executed more than once.
func checkOnceOnly(t Trace, _ Limits) []Violation {
	requests := arrivals(t)
	runs := make(map[string]int)
	var out []Violation
	for _, r := range t {
		r, ok := r.(Execution)
		if !ok {
			continue
		}
		key := requests[r.request()].Key
		if key == "" {
			continue
		}
		runs[key]++
		if runs[key] > 1 {
			s := Step{At: r.At, Node: r.Node}
			out = append(out, s.violation("I4", "key %s was executed %d times", key, runs[key]))
		}
	}
	return out
}
