package reducer

import (
	"time"

	"github.com/azuretrestle/azuretrestle/internal/auditor"
	"github.com/azuretrestle/azuretrestle/internal/balancer"
	"github.com/azuretrestle/azuretrestle/internal/gossiper"
	"github.com/azuretrestle/azuretrestle/pkg/classifier"
)

const (
	// announceTimeout limits the wait for peers to acknowledge Leaving. A peer that
	// did not receive it suspects this entry by then.
	announceTimeout = gossiper.SuspicionPeriod
	// managedAnnounceStoppedTimeout replaces defaultAnnounceStoppedTimeout for a
	// managed entry.
	managedAnnounceStoppedTimeout = 200 * time.Millisecond
	// defaultAnnounceStoppedTimeout limits the wait for peers to acknowledge Stopped and
	// for the last audit records.
	defaultAnnounceStoppedTimeout = 2 * time.Second
)

// Phase is the phase of a planned stop within the node.
type Phase uint8

// The phases of a planned stop, in order.
const (
	// PhaseServing lasts until a stop is requested.
	PhaseServing Phase = iota
	// PhaseAnnouncing waits for peers to acknowledge that the entry is leaving.
	PhaseAnnouncing
	// PhaseExpiring waits for the entry lists that name this entry to expire.
	PhaseExpiring
	// PhaseDraining refuses new work and completes requests in flight.
	PhaseDraining
	// PhaseAnnouncingStopped waits for peers to acknowledge that the entry has
	// stopped, and for the last audit records.
	PhaseAnnouncingStopped
	// PhaseStopped is the final phase.
	PhaseStopped
)

// String returns the name of the phase.
func (p Phase) String() string {
	names := [...]string{"Serving", "Announcing", "Expiring", "Draining", "Farewell", "Stopped"}
	if int(p) < len(names) {
		return names[p]
	}
	return "Unknown"
}

// stopState is the state of a planned stop.
type stopState struct {
	phase Phase
	// unacknowledged holds the peers that have not acknowledged the state.
	unacknowledged map[string]bool
	timer          *timer
	// deadline is when all requests have to have ended; zero if there is no limit.
	deadline time.Time
}

func (n *Node) stopRequested(ev StopRequested) {
	if n.stop.phase != PhaseServing {
		return
	}
	if !ev.Deadline.IsZero() {
		n.stop.deadline = ev.Deadline
		n.runAt(ev.Deadline, n.abortStop)
	}
	if n.state == gossiper.Starting {
		n.startDrain()
		return
	}
	n.stop.phase = PhaseAnnouncing
	n.announce(gossiper.Leaving, announceTimeout, n.awaitExpiry)
}

// announce sends a new state of this entry to all peers; done runs at the timeout.
// Once all peers have acknowledged the state, advanceStop proceeds earlier.
func (n *Node) announce(s gossiper.State, timeout time.Duration, done func()) {
	n.state = s
	n.refresh()
	n.stop.unacknowledged = make(map[string]bool)
	for _, e := range n.view.Entries() {
		if n.responsive(e) {
			n.stop.unacknowledged[e.Name] = true
		}
	}
	n.exchangeWithAll()
	n.stop.timer = n.runAt(n.now.Add(timeout), done)
}

// acknowledged records that a peer knows the current state of this entry, unless the
// state known to that peer is an earlier one.
func (n *Node) acknowledged(from string, known gossiper.State) {
	if known < n.state {
		return
	}
	delete(n.stop.unacknowledged, from)
	n.advanceStop()
}

// advanceStop moves the planned stop to its next phase if the conditions are met.
func (n *Node) advanceStop() {
	confirmed := len(n.stop.unacknowledged) == 0
	switch {
	case n.stop.phase == PhaseAnnouncing && confirmed:
		n.awaitExpiry()
	case n.stop.phase == PhaseDraining && !n.hasWork():
		n.stop.phase = PhaseAnnouncingStopped
		n.announce(gossiper.Stopped, n.announceStoppedTimeout(), n.finishStop)
	case n.stop.phase == PhaseAnnouncingStopped && confirmed && n.trailBuffer.Empty():
		n.finishStop()
	}
}

// awaitExpiry waits until the entry lists that name this entry have expired.
func (n *Node) awaitExpiry() {
	n.timers.stop(n.stop.timer)
	n.stop.phase = PhaseExpiring
	n.stop.timer = n.runAt(n.now.Add(n.responseTTL()), n.startDrain)
}

func (n *Node) startDrain() {
	n.stop.phase = PhaseDraining
	n.audit(auditor.Entry{Actor: n.Name, Action: "EntryDraining", Subject: n.Name, Cause: "stop requested", Version: n.Config().Version})
	n.emit(Stop{Phase: StopListening})
}

// announceStoppedTimeout returns a short timeout for a managed entry, which has no audit
// records to append.
func (n *Node) announceStoppedTimeout() time.Duration {
	if n.Managed != nil {
		return managedAnnounceStoppedTimeout
	}
	return defaultAnnounceStoppedTimeout
}

// endsAfterStop reports whether a request that is sent now would usually get its response
// after the deadline of a planned stop.
func (n *Node) endsAfterStop(s *service, rank string) bool {
	return !n.stop.deadline.IsZero() && n.now.Add(s.pool.TailLatency(rank)).After(n.stop.deadline)
}

// refuseEndingAfterStop refuses the waiting requests that can no longer end before the
// deadline of a planned stop, so that their callers go to another entry in time.
func (n *Node) refuseEndingAfterStop(s *service) {
	if n.stop.deadline.IsZero() {
		return
	}
	for _, it := range s.queue.Items() {
		if !n.endsAfterStop(s, it.Rank) {
			continue
		}
		n.refuseWaiting(n.requests[RequestID(it.ID)], classifier.EntryStopping)
	}
}

// abortStop ends the requests that are still in progress at the deadline of a planned
// stop, so that their callers get a response before the process is killed.
func (n *Node) abortStop() {
	if n.stop.phase == PhaseStopped {
		return
	}
	for _, id := range sortedIDs(n.requests) {
		r, ok := n.requests[id]
		if !ok || r.relayed {
			continue
		}
		n.cancelAttempts(r, balancer.FailureCancelled)
		n.refuseRequest(r, classifier.EntryStopping)
	}
	n.finishStop()
}

func (n *Node) finishStop() {
	n.timers.stop(n.stop.timer)
	n.stop.phase = PhaseStopped
	n.emit(Stop{Phase: StopDone})
}

// hasWork reports whether work in progress has to end before the entry may stop.
func (n *Node) hasWork() bool { return len(n.requests) > 0 || len(n.config.patches) > 0 }
