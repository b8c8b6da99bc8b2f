package checker

import (
	"fmt"
	"iter"
	"time"

	"github.com/azuretrestle/azuretrestle/internal/reducer"
)

// Trace is what happened to several nodes and their upstreams, in one order.
type Trace []Record

// Record is one line of a trace.
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

// Run says that an upstream ran an attempt.
type Run struct {
	At          time.Time
	Node        string
	Incarnation uint64
	Attempt     reducer.AttemptID
	Upstream    string
}

// Leave says that an upstream gave the signal that it is leaving.
type Leave struct {
	At       time.Time
	Upstream string
}

func (Step) record()  {}
func (Run) record()   {}
func (Leave) record() {}

// Limits holds the bounds that depend on the configuration.
type Limits struct {
	// Budget is the number of probes a second of each service.
	Budget map[string]float64
}

// Violation is a place of a trace where an invariant does not hold.
type Violation struct {
	Invariant string
	At        time.Time
	Node      string
	Detail    string
}

// String returns the violation in one line.
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
		{"I2", "a caller gets the complete response to its own request", checkAnswers},
		{"I3", "a request refused as not run did not run", checkNotRun},
		{"I4", "a once-only key runs at most once", checkOnce},
		{"I5", "a leaving upstream gets no new work after the bound", checkLeaving},
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

// requestKey identifies a request in the whole trace.
type requestKey struct {
	node        string
	incarnation uint64
	id          reducer.RequestID
}

func (s Step) request(id reducer.RequestID) requestKey { return requestKey{s.Node, s.Incarnation, id} }

func (r Run) request() requestKey { return requestKey{r.Node, r.Incarnation, r.Attempt.Request} }

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

// steps yields only the steps of a trace.
func steps(t Trace) iter.Seq[Step] {
	return func(yield func(Step) bool) {
		for _, r := range t {
			if s, ok := r.(Step); ok && !yield(s) {
				return
			}
		}
	}
}

// ended returns the request that an effect ends.
func ended(e reducer.Effect) (reducer.RequestID, bool) {
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

// Unended returns the requests and patches of the incarnations that live at the end of the
// trace which got no answer although their caller did not hang up.
func Unended(t Trace, alive map[string]uint64) []Violation {
	var open []Step
	ids := make(map[requestKey]bool)
	for s := range steps(t) {
		switch ev := s.Event.(type) {
		case reducer.RequestArrived, reducer.PatchSubmitted:
			open = append(open, s)
		case reducer.CallerGone:
			ids[s.request(ev.ID)] = true
		}
		for _, e := range s.Effects {
			if id, ok := ended(e); ok {
				ids[s.request(id)] = true
			}
			if a, ok := e.(reducer.AnswerPatch); ok {
				ids[s.request(a.ID)] = true
			}
		}
	}
	var out []Violation
	for _, s := range open {
		id := requestID(s.Event)
		if alive[s.Node] == s.Incarnation && !ids[s.request(id)] {
			out = append(out, s.violation("Unended", "request %d got no answer", id))
		}
	}
	return out
}

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
