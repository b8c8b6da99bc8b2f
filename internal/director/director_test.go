package director

import (
	"math/rand/v2"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"github.com/azuretrestle/azuretrestle/internal/gossiper"
)

// TestChoose guards against responses with entries that must not be advertised, and against
// a choice that ignores the data centre of the caller or the load of the entries.
func TestChoose(t *testing.T) {
	is := is.New(t)
	address := netip.MustParseAddrPort("10.0.0.1:80")
	base := gossiper.Entry{State: gossiper.Alive, CallerAddress: address, DataCentre: "a"}
	var all []gossiper.Entry
	add := func(name string, change func(*gossiper.Entry)) {
		e := base
		e.Name = name
		change(&e)
		all = append(all, e)
	}
	add("leaving", func(e *gossiper.Entry) { e.State = gossiper.Leaving })
	add("stale", func(e *gossiper.Entry) { e.Stale = true })
	add("listed", func(e *gossiper.Entry) { e.ListedLeaving = true })
	add("busy", func(e *gossiper.Entry) { e.InFlight = 99 })
	add("idle", func(*gossiper.Entry) {})
	for _, name := range []string{"remote1", "remote2", "remote3"} {
		add(name, func(e *gossiper.Entry) { e.DataCentre = "b" })
	}
	usable := Usable(all)
	is.Equal(len(usable), 5)
	random := rand.New(rand.NewPCG(1, 1))
	idleFirst := 0
	for range 1000 {
		out := Choose(usable, "a", random)
		is.Equal(len(out), MaxResponseEntries)
		is.True(out[0].DataCentre == "a" && out[1].DataCentre == "a")
		if out[0].Name == "idle" {
			idleFirst++
		}
	}
	is.True(idleFirst > 950) // 990 expected from the weights
}
