package checker

import (
	"fmt"
	"iter"
	"time"

	"github.com/azuretrestle/azuretrestle/internal/reducer"
)

// Trace is a totally ordered record of several nodes and their upstreams.
type Trace []Record

// Record is one element of a trace.
type Record interface{ record() }

// Step is one event of a node with its effects.
type Step struct {
	// At is the time by the clock of the trace, not by that of the node.
	At          time.Time
	Node        string
	Incarnation uint64
	Event       reducer.Event
	Effects     []reducer.Effect
	// Version is the configuration version in force after the step.
	Version uint64
}

// Execution records that an upstream executed an attempt.
type Execution struct {
	At          time.Time
	Node        string
	Incarnation uint64
	Attempt     reducer.AttemptID
	Upstream    string
}

// Departure records that an upstream announced that it is leaving.
type Departure struct {
	At       time.Time
	Upstream string
}

func (Step) record()      {}
func (Execution) record() {}
func (Departure) record() {}

// Limits holds the bounds that depend on the configuration.
type Limits struct {
	// Budget is the number of probes a second of each service.
	Budget map[string]float64
}

// Violation is a point of a trace where an invariant does not hold.
type Violation struct {
	Invariant string
	At        time.Time
	Node      string
	Detail    string
}

// String returns the violation as one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s at %s on %s: %s", v.Invariant, v.At.Format("15:04:05.000"), v.Node, v.Detail)
}

// Invariant is one of the invariants I1 to I7 with its checker.
type Invariant struct {
	ID    string
	Text  string
	Check func(Trace, Limits) []Violation
}

// Invariants returns all invariants in order.
func Invariants() []Invariant {
	return []Invariant{
		{"I1", "measuring stays within its budget", checkBudget},
		{"I2", "a caller gets the complete response to its own request", checkResponses},
		{"I3", "a request refused as not run did not run", checkNotRun},
		{"I4", "a once-only key runs at most once", checkOnceOnly},
		{"I5", "a leaving upstream gets no new work after the bound", checkLeavingUpstreams},
		{"I6", "a planned stop interrupts no request", checkStops},
		{"I7", "an accepted version is in effect everywhere within the bound and never reverts", checkVersions},
	}
}

// Check runs all checkers on a trace.
func Check(t Trace, l Limits) []Violation {
	var out []Violation
	for _, i := range Invariants() {
		out = append(out, i.Check(t, l)...)
	}
	return out
}

// requestKey identifies a request across all nodes of a trace.
type requestKey struct {
	node        string
	incarnation uint64
	id          reducer.RequestID
}

func (s Step) request(id reducer.RequestID) requestKey { return requestKey{s.Node, s.Incarnation, id} }

func (r Execution) request() requestKey { return requestKey{r.Node, r.Incarnation, r.Attempt.Request} }

func (s Step) violation(id, format string, args ...any) Violation {
	return Violation{Invariant: id, At: s.At, Node: s.Node, Detail: fmt.Sprintf(format, args...)}
}

// arrivals returns all requests of a trace.
func arrivals(t Trace) map[requestKey]reducer.RequestArrived {
	out := make(map[requestKey]reducer.RequestArrived)
	for s := range steps(t) {
		if ev, ok := s.Event.(reducer.RequestArrived); ok {
			out[s.request(ev.ID)] = ev
		}
	}
	return out
}

// steps yields the records of a trace that are steps.
func steps(t Trace) iter.Seq[Step] {
	return func(yield func(Step) bool) {
		for _, r := range t {
			if s, ok := r.(Step); ok && !yield(s) {
				return
			}
		}
	}
}

// endedRequest returns the request that an effect ends; it reports false if the effect ends none.
func endedRequest(e reducer.Effect) (reducer.RequestID, bool) {
	switch e := e.(type) {
	case reducer.Relay:
		return e.Attempt.Request, true
	case reducer.Refuse:
		return e.ID, true
	case reducer.AnswerStored:
		return e.ID, true
	default:
		return 0, false
	}
}

// Unended returns the requests and patches that got no response although the caller did not
// close the connection and the incarnation that received them is alive at the end of the trace.
func Unended(t Trace, alive map[string]uint64) []Violation {
	var open []Step
	ended := make(map[requestKey]bool)
	for s := range steps(t) {
		switch ev := s.Event.(type) {
		case reducer.RequestArrived, reducer.PatchSubmitted:
			open = append(open, s)
		case reducer.CallerDisconnected:
			ended[s.request(ev.ID)] = true
		}
		for _, e := range s.Effects {
			if id, ok := endedRequest(e); ok {
				ended[s.request(id)] = true
			}
			if a, ok := e.(reducer.AnswerPatch); ok {
				ended[s.request(a.ID)] = true
			}
		}
	}
	var out []Violation
	for _, s := range open {
		id := requestID(s.Event)
		if alive[s.Node] == s.Incarnation && !ended[s.request(id)] {
			out = append(out, s.violation("Unended", "request %d got no response", id))
		}
	}
	return out
}

// requestID returns the ID of the request or patch that an event submits, 0 for other events.
func requestID(ev reducer.Event) reducer.RequestID {
	switch ev := ev.(type) {
	case reducer.RequestArrived:
		return ev.ID
	case reducer.PatchSubmitted:
		return ev.ID
	default:
		return 0
	}
}
