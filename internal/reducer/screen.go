package reducer

import (
	"time"

	"github.com/azuretrestle/azuretrestle/internal/balancer"
	"github.com/azuretrestle/azuretrestle/pkg/classifier"
)

const (
	// screenPatience bounds the wait for a probe that precedes an attempt.
	screenPatience = 25 * time.Millisecond
	// maxScreens bounds the upstreams that are probed before a request waits for
	// another one, maxAllScreens those for one request in all.
	maxScreens    = 3
	maxAllScreens = 9
	// recheckInterval is when waiting requests look for an upstream again.
	recheckInterval = 8 * time.Millisecond
	// leastRetry is the earliest time at which a caller may come back that found all
	// upstreams full, crammedSpread the reciprocal share of the target over which
	// callers are spread beyond it.
	leastRetry    = 100 * time.Millisecond
	crammedSpread = 2
	// screenSaved bounds the probes that a quiet time saves up, in seconds of the rate.
	screenSaved = 2
)

// screening is a request's part in the probes that precede attempts.
type screening struct {
	// screened is the choice whose probe is awaited, nil if there is none.
	screened *balancer.Choice
	// hedged is set if that choice is for a second attempt.
	hedged bool
	// screens counts the probes since the request last waited, allScreens all of them.
	screens    int
	allScreens int
	// unsuited names the upstreams that the probes found slow or full.
	unsuited []string
}

// screen sends a request to an upstream, after a probe if nothing recent is
// known of its pace. A slow phase lasts longer than a probe takes, and a request
// that is sent into one can't be called back if it must not run twice. It reports
// false if the request was put back, since nothing can be sent without a probe.
func (n *Node) screen(r *request, c balancer.Choice) bool {
	s := r.service
	hedged := r.open() > 0
	if n.Managed == nil || !s.pool.Unsure(n.now, c.Attempt) {
		n.launch(r, c, hedged)
		return true
	}
	tired := r.allScreens >= maxAllScreens
	if tired || !s.spendProbe() {
		return n.unscreened(r, c, hedged, tired)
	}
	r.screened = &c
	r.hedged = hedged
	r.screens++
	r.allScreens++
	n.emit(Probe{
		Request: r.id, Service: s.config.Name, Upstream: c.Name, Address: c.Address, Connections: c.Connections,
		Path: s.config.ProbePath, Deadline: n.now.Add(screenPatience),
	})
	return true
}

// unscreened decides on an attempt that can't be preceded by a probe, because
// the request had enough of them (tired) or the entry may send no more. It is sent
// unless most upstreams are full: it would only fill queues, and work that is
// lost there comes back as more work. It reports false if the request was put back.
func (n *Node) unscreened(r *request, c balancer.Choice, hedged, tired bool) bool {
	if !r.service.pool.Crammed() {
		n.launch(r, c, hedged)
		return true
	}
	r.service.pool.Release(c.Attempt)
	switch {
	case hedged:
	case tired && len(r.attempts) == 0:
		n.refuseCrammed(r)
	default:
		r.allScreens = 0
		n.requeue(r)
		return false
	}
	return true
}

// refuseCrammed ends a request that found no free slot; its caller is told to come
// back at a random time within its target, so that not all come at once.
func (n *Node) refuseCrammed(r *request) {
	spread := max(int64(r.rank.Target.Duration/crammedSpread), 1)
	r.retryAt = n.now.Add(leastRetry + time.Duration(n.random.Int64N(spread)))
	n.refuseRequest(r, classifier.QueueFull)
}

// launch dispatches an attempt that needs no further probe.
func (n *Node) launch(r *request, c balancer.Choice, hedged bool) {
	r.screens = 0
	r.unsuited = nil
	if hedged && !r.service.hedges.spend() {
		r.service.pool.Release(c.Attempt)
		return
	}
	r.service.pool.Launch(n.now, c.Attempt)
	n.dispatch(r, c)
}

// screenAnswered sends the attempt that a probe preceded, or looks for a better upstream.
func (n *Node) screenAnswered(s *service, ev ProbeAnswered) {
	switch {
	case ev.Report != nil:
	case ev.OK:
		s.pool.Untold()
	default:
		s.pool.ProbeFailed(n.now, ev.Upstream)
	}
	r, ok := n.requests[ev.Request]
	if !ok || r.screened == nil || r.screened.Name != ev.Upstream {
		return
	}
	c := *r.screened
	r.screened = nil
	s.pool.Screened(c.Attempt, ev.OK || ev.Report != nil)
	if r.relayed {
		s.pool.Release(c.Attempt)
		return
	}
	if (ev.OK || ev.Report != nil) && s.pool.Suits(c.Attempt, n.late(r)) {
		n.launch(r, c, r.hedged)
		return
	}
	s.pool.Release(c.Attempt)
	r.unsuited = append(r.unsuited, c.Name)
	n.screenNext(r)
}

// screenNext picks another upstream; if none is left, the request waits for one.
func (n *Node) screenNext(r *request) {
	if r.screens < maxScreens {
		if next, ok := r.service.pool.Pick(n.now, n.need(r)); ok {
			n.screen(r, next)
			return
		}
	}
	r.screens = 0
	r.unsuited = nil
	if !r.hedged {
		n.requeue(r)
	}
}

// requeue lets a request that was taken from the queue wait again.
func (n *Node) requeue(r *request) {
	if !r.service.queue.Return(n.now, r.item()) {
		n.refuseRequest(r, classifier.UnknownRank)
		return
	}
	r.queued = true
	n.recheck(r.service)
}

// recheck looks for upstreams again soon, since their state changes without an event here.
func (n *Node) recheck(s *service) {
	if n.Managed == nil || s.rechecking || s.queue.Waiting() == 0 {
		return
	}
	s.rechecking = true
	n.after(n.now.Add(recheckInterval), func() {
		s.rechecking = false
		n.pump(s)
	})
}

// late reports whether a request can't be answered in time any more.
func (n *Node) late(r *request) bool {
	return !r.due.IsZero() && n.now.Add(r.service.pool.Usual(r.rank.Name)).After(r.due)
}

// endScreening gives back the slot of an attempt whose probe is awaited.
func (n *Node) endScreening(r *request) {
	if r.screened == nil {
		return
	}
	r.service.pool.Release(r.screened.Attempt)
	r.screened = nil
	r.unsuited = nil
	r.screens = 0
}

// spendProbe takes a probe from what the operator allows this entry.
func (s *service) spendProbe() bool {
	n := s.node
	rate := n.Managed.ProbeRate * float64(s.pool.Len()) / float64(max(n.entryCount(), leastEntries)) * managedShare
	s.probesSaved = min(s.probesSaved+n.now.Sub(s.probesAt).Seconds()*rate, rate*screenSaved)
	s.probesAt = n.now
	if s.probesSaved < 1 {
		return false
	}
	s.probesSaved--
	return true
}
