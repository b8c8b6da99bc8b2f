package checker

import (
	"fmt"
	"time"

	"github.com/azuretrestle/azuretrestle/internal/reducer"
	"github.com/azuretrestle/azuretrestle/pkg/classifier"
	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

// Bounds of section 1.1 of the design.
const (
	budgetWindow = time.Second
	leaveBound   = 3 * time.Second
	versionBound = 6 * time.Second
)

// checkBudget checks I1 in every window that ends with a probe.
func checkBudget(t Trace, l Limits) []Violation {
	recent := make(map[string][]time.Time)
	var out []Violation
	for s := range steps(t) {
		for _, e := range s.Effects {
			p, ok := e.(reducer.Probe)
			if !ok {
				continue
			}
			window := recent[p.Service]
			window = append(window, s.At)
			for s.At.Sub(window[0]) >= budgetWindow {
				window = window[1:]
			}
			recent[p.Service] = window
			if float64(len(window)) > l.Budget[p.Service] {
				out = append(out, s.violation("I1", "%d probes of %s within a second", len(window), p.Service))
			}
		}
	}
	return out
}

// checkLeaving checks I5.
func checkLeaving(t Trace, _ Limits) []Violation {
	left := make(map[string]time.Time)
	var out []Violation
	for _, r := range t {
		switch r := r.(type) {
		case Leave:
			if _, ok := left[r.Upstream]; !ok {
				left[r.Upstream] = r.At
			}
		case Step:
			for _, e := range r.Effects {
				d, ok := e.(reducer.Dispatch)
				if !ok {
					continue
				}
				at, leaving := left[d.Upstream]
				if leaving && r.At.Sub(at) > leaveBound {
					out = append(out, r.violation("I5", "dispatch to %s, which left %s before", d.Upstream, r.At.Sub(at)))
				}
			}
		}
	}
	return out
}

// nodeKey identifies one incarnation of a node.
type nodeKey struct {
	node        string
	incarnation uint64
}

// stops follows which planned stops are under way and which requests are open.
type stops struct {
	upstreams map[string]bool
	nodes     map[nodeKey]bool
	open      map[nodeKey]map[reducer.RequestID]bool
	attempts  map[attemptKey]reducer.Dispatch
}

// checkStops checks I6: a node ends its planned stop only without open
// requests, and no attempt is cancelled because a node or an upstream leaves.
func checkStops(t Trace, _ Limits) []Violation {
	st := stops{
		upstreams: make(map[string]bool), nodes: make(map[nodeKey]bool),
		open: make(map[nodeKey]map[reducer.RequestID]bool), attempts: make(map[attemptKey]reducer.Dispatch),
	}
	var out []Violation
	for _, r := range t {
		switch r := r.(type) {
		case Leave:
			st.upstreams[r.Upstream] = true
		case Step:
			out = append(out, st.step(r)...)
		}
	}
	return out
}

func (st *stops) step(s Step) []Violation {
	node := nodeKey{s.Node, s.Incarnation}
	if st.open[node] == nil {
		st.open[node] = make(map[reducer.RequestID]bool)
	}
	switch ev := s.Event.(type) {
	case reducer.StopRequested:
		st.nodes[node] = true
	case reducer.RequestArrived:
		st.open[node][ev.ID] = true
	case reducer.CallerGone:
		delete(st.open[node], ev.ID)
	case reducer.UpstreamFinished:
		delete(st.open[node], ev.Attempt.Request)
	}
	var out []Violation
	for _, e := range s.Effects {
		if id, ok := ended(e); ok && !partial(s, e) {
			delete(st.open[node], id)
		}
		switch e := e.(type) {
		case reducer.Dispatch:
			st.attempts[s.attempt(e.Attempt)] = e
		case reducer.Cancel:
			d := st.attempts[s.attempt(e.Attempt)]
			if (st.nodes[node] || st.upstreams[d.Upstream]) && !allowedCancel(s, d) {
				out = append(out, s.violation("I6", "attempt %v on %s cancelled during a planned stop", e.Attempt, d.Upstream))
			}
		case reducer.Stop:
			if e.Phase == reducer.StopDone && len(st.open[node]) > 0 {
				out = append(out, s.violation("I6", "stopped with %d requests in progress", len(st.open[node])))
			}
		}
	}
	return out
}

// partial reports whether an effect begins to relay an answer that is not read to its end.
func partial(s Step, e reducer.Effect) bool {
	_, relay := e.(reducer.Relay)
	ev, ok := s.Event.(reducer.UpstreamAnswered)
	return relay && ok && !ev.Whole
}

// allowedCancel reports whether the caller hung up, the deadline passed or
// another attempt of the request won.
func allowedCancel(s Step, d reducer.Dispatch) bool {
	if gone, ok := s.Event.(reducer.CallerGone); ok && gone.ID == d.Attempt.Request {
		return true
	}
	if !s.Event.Time().Before(d.Deadline) {
		return true
	}
	for _, e := range s.Effects {
		if relay, ok := e.(reducer.Relay); ok && relay.Attempt.Request == d.Attempt.Request {
			return true
		}
	}
	return false
}

// versions follows the versions in force and the patches that made them.
type versions struct {
	current    map[nodeKey]uint64
	patches    map[requestKey]patcher.Patch
	acceptedAt map[uint64]time.Time
	acceptedID map[uint64]string
}

// checkVersions checks I7 on the versions with which nodes dispatch, and that
// each version comes from one patch against the version before it.
func checkVersions(t Trace, _ Limits) []Violation {
	vs := versions{
		current: make(map[nodeKey]uint64), patches: make(map[requestKey]patcher.Patch),
		acceptedAt: make(map[uint64]time.Time), acceptedID: make(map[uint64]string),
	}
	var out []Violation
	for s := range steps(t) {
		node := nodeKey{s.Node, s.Incarnation}
		if s.Version < vs.current[node] {
			out = append(out, s.violation("I7", "version went back from %d to %d", vs.current[node], s.Version))
		}
		vs.current[node] = s.Version
		if ev, ok := s.Event.(reducer.PatchSubmitted); ok {
			vs.patches[s.request(ev.ID)] = ev.Patch
		}
		for _, e := range s.Effects {
			if problem := vs.check(s, e); problem != "" {
				out = append(out, s.violation("I7", "%s", problem))
			}
		}
	}
	return out
}

func (vs *versions) check(s Step, e reducer.Effect) string {
	switch e := e.(type) {
	case reducer.AnswerPatch:
		if e.Code == classifier.OK {
			return vs.accept(s, e)
		}
	case reducer.Dispatch:
		if v := overdue(vs.acceptedAt, s); v > 0 {
			return fmt.Sprintf("dispatch under version %d, but %d is in effect", s.Version, v)
		}
	}
	return ""
}

func (vs *versions) accept(s Step, e reducer.AnswerPatch) string {
	p := vs.patches[s.request(e.ID)]
	if e.Version != p.Base+1 {
		return fmt.Sprintf("patch %s against version %d accepted as version %d", p.ID, p.Base, e.Version)
	}
	if had, ok := vs.acceptedID[e.Version]; ok && had != p.ID {
		return fmt.Sprintf("version %d accepted for patches %s and %s", e.Version, had, p.ID)
	}
	vs.acceptedID[e.Version] = p.ID
	if _, ok := vs.acceptedAt[e.Version]; !ok {
		vs.acceptedAt[e.Version] = s.At
	}
	return ""
}

// overdue returns the newest version that the step should have had, 0 if there is none.
func overdue(accepted map[uint64]time.Time, s Step) uint64 {
	var newest uint64
	for v, at := range accepted {
		if v > s.Version && v > newest && s.At.Sub(at) > versionBound {
			newest = v
		}
	}
	return newest
}
