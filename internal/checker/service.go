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

// checkBudget checks I1, the probe budget, in every window that ends with a probe.
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

// checkLeavingUpstreams checks I5: an upstream that left gets no dispatch after leaveBound.
func checkLeavingUpstreams(t Trace, _ Limits) []Violation {
	leftAt := make(map[string]time.Time)
	var out []Violation
	for _, r := range t {
		switch r := r.(type) {
		case Departure:
			if _, ok := leftAt[r.Upstream]; !ok {
				leftAt[r.Upstream] = r.At
			}
		case Step:
			for _, e := range r.Effects {
				d, ok := e.(reducer.Dispatch)
				if !ok {
					continue
				}
				at, leaving := leftAt[d.Upstream]
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

// stopTracker tracks which upstreams are leaving, which planned stops are in progress and
// which requests are open.
type stopTracker struct {
	leavingUpstreams map[string]bool
	stoppingNodes    map[nodeKey]bool
	open             map[nodeKey]map[reducer.RequestID]bool
	attempts         map[attemptKey]reducer.Dispatch
}

// checkStops checks I6: a node completes a planned stop only when it has no open
// requests, and no attempt is cancelled because a node or an upstream leaves.
func checkStops(t Trace, _ Limits) []Violation {
	st := stopTracker{
		leavingUpstreams: make(map[string]bool), stoppingNodes: make(map[nodeKey]bool),
		open: make(map[nodeKey]map[reducer.RequestID]bool), attempts: make(map[attemptKey]reducer.Dispatch),
	}
	var out []Violation
	for _, r := range t {
		switch r := r.(type) {
		case Departure:
			st.leavingUpstreams[r.Upstream] = true
		case Step:
			out = append(out, st.step(r)...)
		}
	}
	return out
}

// step records a step and returns its violations of I6.
func (st *stopTracker) step(s Step) []Violation {
	node := nodeKey{s.Node, s.Incarnation}
	if st.open[node] == nil {
		st.open[node] = make(map[reducer.RequestID]bool)
	}
	switch ev := s.Event.(type) {
	case reducer.StopRequested:
		st.stoppingNodes[node] = true
	case reducer.RequestArrived:
		st.open[node][ev.ID] = true
	case reducer.CallerDisconnected:
		delete(st.open[node], ev.ID)
	case reducer.UpstreamFinished:
		delete(st.open[node], ev.Attempt.Request)
	}
	var out []Violation
	for _, e := range s.Effects {
		if id, ok := endedRequest(e); ok && !isPartialRelay(s, e) {
			delete(st.open[node], id)
		}
		switch e := e.(type) {
		case reducer.Dispatch:
			st.attempts[s.attempt(e.Attempt)] = e
		case reducer.Cancel:
			d := st.attempts[s.attempt(e.Attempt)]
			if (st.stoppingNodes[node] || st.leavingUpstreams[d.Upstream]) && !allowedCancel(s, d) {
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

// isPartialRelay reports whether an effect starts to relay a response whose body is not yet complete.
func isPartialRelay(s Step, e reducer.Effect) bool {
	_, relay := e.(reducer.Relay)
	ev, ok := s.Event.(reducer.UpstreamAnswered)
	return relay && ok && !ev.Whole
}

// allowedCancel reports whether the cancel has an allowed cause: the caller closed
// the connection, the deadline passed or another attempt's response was relayed.
func allowedCancel(s Step, d reducer.Dispatch) bool {
	if disconnected, ok := s.Event.(reducer.CallerDisconnected); ok && disconnected.ID == d.Attempt.Request {
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

// versionTracker tracks the version in force at each node and the patch that produced each version.
type versionTracker struct {
	current    map[nodeKey]uint64
	patches    map[requestKey]patcher.Patch
	acceptedAt map[uint64]time.Time
	acceptedID map[uint64]string
}

// checkVersions checks I7: the version at a node never decreases, no node dispatches
// under a version that should have been replaced, and each version comes from one
// patch against the previous version.
func checkVersions(t Trace, _ Limits) []Violation {
	vt := versionTracker{
		current: make(map[nodeKey]uint64), patches: make(map[requestKey]patcher.Patch),
		acceptedAt: make(map[uint64]time.Time), acceptedID: make(map[uint64]string),
	}
	var out []Violation
	for s := range steps(t) {
		node := nodeKey{s.Node, s.Incarnation}
		if s.Version < vt.current[node] {
			out = append(out, s.violation("I7", "version went back from %d to %d", vt.current[node], s.Version))
		}
		vt.current[node] = s.Version
		if ev, ok := s.Event.(reducer.PatchSubmitted); ok {
			vt.patches[s.request(ev.ID)] = ev.Patch
		}
		for _, e := range s.Effects {
			if problem := vt.check(s, e); problem != "" {
				out = append(out, s.violation("I7", "%s", problem))
			}
		}
	}
	return out
}

// check returns how an effect violates I7, or an empty string if it doesn't.
func (vt *versionTracker) check(s Step, e reducer.Effect) string {
	switch e := e.(type) {
	case reducer.AnswerPatch:
		if e.Code == classifier.OK {
			return vt.accept(s, e)
		}
	case reducer.Dispatch:
		if v := overdueVersion(vt.acceptedAt, s); v > 0 {
			return fmt.Sprintf("dispatch under version %d, but %d is in effect", s.Version, v)
		}
	}
	return ""
}

// accept records the acceptance of a patch and returns how it violates I7, or an empty string if it doesn't.
func (vt *versionTracker) accept(s Step, e reducer.AnswerPatch) string {
	p := vt.patches[s.request(e.ID)]
	if e.Version != p.Base+1 {
		return fmt.Sprintf("patch %s against version %d accepted as version %d", p.ID, p.Base, e.Version)
	}
	if previous, ok := vt.acceptedID[e.Version]; ok && previous != p.ID {
		return fmt.Sprintf("version %d accepted for patches %s and %s", e.Version, previous, p.ID)
	}
	vt.acceptedID[e.Version] = p.ID
	if _, ok := vt.acceptedAt[e.Version]; !ok {
		vt.acceptedAt[e.Version] = s.At
	}
	return ""
}

// overdueVersion returns the newest version that should have replaced the one in force at the step, 0 if there is none.
func overdueVersion(accepted map[uint64]time.Time, s Step) uint64 {
	var newest uint64
	for v, at := range accepted {
		if v > s.Version && v > newest && s.At.Sub(at) > versionBound {
			newest = v
		}
	}
	return newest
}
