package reducer

import (
	"time"

	"github.com/azuretrestle/azuretrestle/internal/gossiper"
)

// shareTakeover is how long an entry has to be silent until the others take over its
// shares of the rates of upstreams. It exceeds the time of a restart, after which an entry
// has the same shares again.
const shareTakeover = 10 * time.Second

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
