package reducer

import (
	"time"

	"github.com/azuretrestle/azuretrestle/pkg/classifier"
)

// replacementDelay is the time after which a caller may retry a request for which no
// upstream is left: a new upstream becomes known with a read of the store. It also limits
// the random delay by which retries are spread.
const replacementDelay = pollInterval

// upstreamAnnounced applies what an upstream stated about itself.
func (n *Node) upstreamAnnounced(ev UpstreamAnnounced) {
	s, ok := n.services[ev.Service]
	if !ok {
		return
	}
	s.pool.Announce(n.now, ev.Upstream, ev.Born, ev.Announcement)
	if ev.Rate == nil && !ev.SentAt.IsZero() {
		s.pool.RateOmitted(ev.Upstream, ev.Born, ev.SentAt)
	}
	n.auditUpstreams(s)
	n.dispatchWaiting(s)
}

// refuseUnservable refuses the waiting requests that no upstream can serve before their
// deadline, since all are leaving or want no requests until later. A random delay is added
// to the time of the retry, so that callers do not all return at once.
func (n *Node) refuseUnservable(s *service) {
	opensAt, ok := s.pool.OpensAt(n.now)
	if !ok {
		opensAt = n.now.Add(replacementDelay)
	}
	if !opensAt.After(n.now) {
		return
	}
	for _, it := range s.queue.Items() {
		if ok && opensAt.Before(it.Deadline) {
			continue
		}
		r := n.requests[RequestID(it.ID)]
		r.retryAt = opensAt.Add(time.Duration(n.random.Int64N(int64(replacementDelay))))
		n.refuseWaiting(r, classifier.NoUpstream)
	}
}
