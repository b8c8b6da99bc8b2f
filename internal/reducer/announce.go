package reducer

import (
	"time"

	"github.com/azuretrestle/azuretrestle/internal/gossiper"
	"github.com/azuretrestle/azuretrestle/pkg/classifier"
)

// replacementDelay is the time after which a caller may retry a request for which no
// upstream is left: a new upstream becomes known with a read of the store. It also limits
// the random delay by which retries are spread.
const replacementDelay = pollInterval

// shareTakeover is how long an entry has to be silent until the others take over its
// shares of the rates of upstreams. It exceeds the time of a restart, after which an entry
// has the same shares again.
const shareTakeover = 10 * time.Second

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

// shareRates tells the pools which entries share the rates that upstreams name.
func (n *Node) shareRates() {
	names, cutOff := n.rateSharers()
	for _, s := range n.services {
		s.pool.SetEntries(n.Name, names, cutOff)
	}
}

// rateSharers returns the names of the entries that share the rates of upstreams. An entry
// that has been silent for long loses its share to the others, unless at least half of
// all entries have been: then this entry is more likely cut off than they are gone.
func (n *Node) rateSharers() (names []string, cutOff bool) {
	var all, heard []string
	for e := range n.view.All() {
		if e.State == gossiper.Stopped || e.Incarnation == 0 {
			continue
		}
		all = append(all, e.Name)
		if e.Name == n.Name || n.now.Sub(e.HeardAt) < shareTakeover {
			heard = append(heard, e.Name)
		}
	}
	if len(all) > 1 && 2*len(heard) <= len(all) {
		return all, true
	}
	return heard, false
}

// RateLimited reports whether an upstream names the rate of requests that it takes.
func (n *Node) RateLimited(service, upstream string) bool {
	s, ok := n.services[service]
	return ok && s.pool.Limited(upstream)
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
		s.queue.Remove(it.ID)
		r := n.requests[RequestID(it.ID)]
		r.queued = false
		r.retryAt = opensAt.Add(time.Duration(n.random.Int64N(int64(replacementDelay))))
		n.refuseRequest(r, classifier.NoUpstream)
	}
}
