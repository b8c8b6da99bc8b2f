package reducer

import "time"

// resumed accounts for a time in which the machine was suspended. For callers, peers and
// the store that time has passed: deadlines of requests come earlier by it, entries and
// copies of the store's records were last heard from longer ago. In the product's own
// deployment, deadlines are times of day, which include that time.
func (n *Node) resumed(ev Resumed) {
	if n.Managed == nil {
		return
	}
	for _, r := range n.requests {
		r.deadline = r.deadline.Add(-ev.Suspended)
		r.arrivedAt = r.arrivedAt.Add(-ev.Suspended)
		if !r.due.IsZero() {
			r.due = r.due.Add(-ev.Suspended)
		}
	}
	for _, id := range sortedIDs(n.requests) {
		r := n.requests[id]
		n.timers.stop(r.timer)
		r.timer = n.runAt(r.deadline, func() { n.deadlinePassed(r) })
	}
	if !n.stop.deadline.IsZero() {
		n.stop.deadline = n.stop.deadline.Add(-ev.Suspended)
		n.runAt(n.stop.deadline, n.abortStop)
	}
	n.view.Age(ev.Suspended)
	for t := range topicCount {
		r := &n.follow.readers[t]
		r.lastCopyAt = backdate(r.lastCopyAt, ev.Suspended)
		r.informedAt = backdate(r.informedAt, ev.Suspended)
	}
	n.shareRates()
}

// backdate returns t less d, or the zero time if t is zero.
func backdate(t time.Time, d time.Duration) time.Time {
	if t.IsZero() {
		return t
	}
	return t.Add(-d)
}
