package reducer

import (
	"time"

	"github.com/azuretrestle/azuretrestle/internal/gossiper"
)

// Member is what the node knows of one entry.
type Member struct {
	gossiper.Entry
	// Suspected is set if the entry has been silent for too long.
	Suspected bool
}

// Evidence is the evidence on which the node decides whether to accept new work.
type Evidence struct {
	// Version is the version in force.
	Version uint64
	// Newest is the highest version that the node has heard of.
	Newest uint64
	// LogAt is the time up to which the log is known to be folded; zero if unknown.
	LogAt time.Time
	// PeersAt is when a majority of entries was last heard; zero if none was.
	PeersAt time.Time
	// ExpiresAt is when the evidence expires.
	ExpiresAt time.Time
	// LogReachable is cleared if the last read of the log failed.
	LogReachable bool
	// Gap is set if records expired before they were read and no checkpoint covers them yet.
	Gap bool
}

// Members returns the known entries by name, including the node itself.
func (n *Node) Members() []Member {
	var out []Member
	for _, e := range n.view.Entries() {
		out = append(out, Member{Entry: e, Suspected: e.Name != n.Name && n.view.Suspected(n.now, e)})
	}
	return out
}

// Evidence returns the node's evidence that its version is current.
func (n *Node) Evidence() Evidence {
	f := n.config.freshness
	return Evidence{
		Version: n.Config().Version, Newest: n.view.NewestVersion(),
		LogAt: f.LogAt, PeersAt: f.PeersAt, ExpiresAt: f.ExpiresAt(),
		LogReachable: !n.config.readFailed, Gap: n.config.log.Gap(),
	}
}

// State returns the node's own membership state.
func (n *Node) State() gossiper.State { return n.state }

// StopPhase returns the phase of a planned stop.
func (n *Node) StopPhase() Phase { return n.stop.phase }

// AuditBacklog returns the number of audit records not yet in the log, and the
// number that did not fit the buffer.
func (n *Node) AuditBacklog() (buffered int, lost uint64) {
	return n.trailBuffer.Len(), n.trailBuffer.Lost()
}
