package reducer

import (
	"time"

	"github.com/azuretrestle/azuretrestle/internal/auditor"
	"github.com/azuretrestle/azuretrestle/internal/gossiper"
)

const (
	// announcePatience bounds the wait for peers to acknowledge Leaving. A peer
	// that did not hear it suspects this entry by then.
	announcePatience = gossiper.SuspicionPeriod
	// managedFarewell is farewellPatience for a managed entry.
	managedFarewell = 200 * time.Millisecond
	// farewellPatience bounds the wait for peers to acknowledge Stopped and for the last audit records.
	farewellPatience = 2 * time.Second
)

// Phase is the state of a planned stop within the node.
type Phase uint8

// The phases of a planned stop, in order.
const (
	// PhaseServing is the time before a stop was requested.
	PhaseServing Phase = iota
	// PhaseAnnouncing waits for peers to acknowledge that the entry leaves.
	PhaseAnnouncing
	// PhaseExpiring waits for answers that name the entry to expire.
	PhaseExpiring
	// PhaseDraining refuses new work and completes requests in progress.
	PhaseDraining
	// PhaseFarewell tells peers that the entry has stopped.
	PhaseFarewell
	// PhaseStopped is the end.
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

// stopping is the state of a planned stop.
type stopping struct {
	phase Phase
	// unconfirmed holds the peers that have not acknowledged the state.
	unconfirmed map[string]bool
	timer       *timer
}

func (n *Node) stopRequested() {
	if n.stop.phase != PhaseServing {
		return
	}
	if n.state == gossiper.Starting {
		n.drain()
		return
	}
	n.stop.phase = PhaseAnnouncing
	n.announce(gossiper.Leaving, announcePatience, n.expire)
}

// announce tells all peers a new state of this entry; done follows once they
// acknowledged it, or when the patience ends.
func (n *Node) announce(s gossiper.State, patience time.Duration, done func()) {
	n.state = s
	n.refresh()
	n.stop.unconfirmed = make(map[string]bool)
	for _, e := range n.view.Entries() {
		if n.answers(e) {
			n.stop.unconfirmed[e.Name] = true
		}
	}
	n.askAll()
	n.stop.timer = n.after(n.now.Add(patience), done)
}

// acknowledged notes the state of this entry that a peer holds.
func (n *Node) acknowledged(from string, held gossiper.State) {
	if held < n.state {
		return
	}
	delete(n.stop.unconfirmed, from)
	n.advanceStop()
}

// advanceStop takes a step of the planned stop whose condition is met.
func (n *Node) advanceStop() {
	confirmed := len(n.stop.unconfirmed) == 0
	switch {
	case n.stop.phase == PhaseAnnouncing && confirmed:
		n.expire()
	case n.stop.phase == PhaseDraining && !n.busy():
		n.stop.phase = PhaseFarewell
		n.announce(gossiper.Stopped, n.farewellPatience(), n.stopped)
	case n.stop.phase == PhaseFarewell && confirmed && n.trailBuffer.Empty():
		n.stopped()
	}
}

// expire waits for the answers that name this entry to expire.
func (n *Node) expire() {
	n.timers.stop(n.stop.timer)
	n.stop.phase = PhaseExpiring
	n.stop.timer = n.after(n.now.Add(n.answerPeriod()), n.drain)
}

func (n *Node) drain() {
	n.stop.phase = PhaseDraining
	n.audit(auditor.Entry{Actor: n.Name, Action: "EntryDraining", Subject: n.Name, Cause: "stop requested", Version: n.Config().Version})
	n.emit(Stop{Phase: StopListening})
}

// farewellPatience is short for a managed entry, which leaves no audit records behind.
func (n *Node) farewellPatience() time.Duration {
	if n.Managed != nil {
		return managedFarewell
	}
	return farewellPatience
}

func (n *Node) stopped() {
	n.timers.stop(n.stop.timer)
	n.stop.phase = PhaseStopped
	n.emit(Stop{Phase: StopDone})
}

// busy reports whether work in progress has to end before the entry may stop.
func (n *Node) busy() bool { return len(n.requests) > 0 || len(n.config.patches) > 0 }
