package reducer_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azuretrestle/azuretrestle/internal/reducer"
	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

// TestMembersSpread guards against entries that for a long time know only a part of the
// others, and so take too large a part of what all of them share.
func TestMembersSpread(t *testing.T) {
	const (
		entries = 47
		// settle is the time until a machine counts as in touch, with the time that the
		// traffic needs to begin.
		settle = 10 * time.Second
	)
	is := is.New(t)
	c := newLimitCluster(t, 0, 1)
	c.seeds = []netip.AddrPort{peerAddress("e00"), peerAddress("e01"), peerAddress("e02")}
	started := make([][]reducer.Effect, entries)
	for i := range entries {
		m := newNamedNode(t, entryName(i), c.now, c.seeds...)
		started[i] = m.effects
		m.startServingBorn(patcher.Idempotent, 1, c.upstreams...)
		c.nodes = append(c.nodes, m)
	}
	for i, m := range c.nodes {
		c.execute(m, started[i])
	}
	c.run(settle, 0, c.anyEntry)
	for _, m := range c.nodes {
		if known := len(m.node.Members()); known != entries {
			t.Errorf("%s knows %d of %d entries", m.node.Name, known, entries)
		}
	}
	is.True(!t.Failed())
}
