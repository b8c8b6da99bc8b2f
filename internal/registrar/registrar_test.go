package registrar

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azuretrestle/azuretrestle/internal/router"
	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

var start = time.Unix(1000, 0)

func registration(name string, born, sequence int64) Registration {
	return Registration{
		Name: name, Service: "tickets", Address: netip.MustParseAddrPort("10.0.0.1:80"), Slots: 4, Born: born, Sequence: sequence,
	}
}

func document(version uint64) Document {
	return Document{
		Version:  version,
		Services: []Service{{Name: "tickets", ProbePath: "/h", Connections: 10}, {Name: "labs"}},
		Routes: []router.Route{
			{Name: "r1", Rank: patcher.Rank{Name: "a"}, Shares: []router.Share{{Service: "tickets", Weight: 1}}},
			{Name: "r2", Rank: patcher.Rank{Name: "a"}, Shares: []router.Share{{Service: "tickets", Weight: 1}, {Service: "labs", Weight: 1}}},
		},
	}
}

func upstreamNames(t *testing.T, g *Registrar) []string {
	t.Helper()
	g.changed = true
	c, ok := g.Config()
	if !ok {
		t.Fatal("no configuration")
	}
	s, _ := c.Service("tickets")
	out := []string{}
	for _, u := range s.Upstreams {
		out = append(out, u.Name)
	}
	return out
}

// TestConfig guards against parts of the document or of a registration that are
// missing in the configuration.
func TestConfig(t *testing.T) {
	is := is.New(t)
	g := New()
	g.Register(registration("u1", 1, 1))
	_, ok := g.Config()
	is.True(!ok) // without a document
	is.True(g.Load(document(3)))
	c, ok := g.Config()
	is.True(ok)
	is.Equal(c.Version, uint64(3))
	s, _ := c.Service("tickets")
	is.Equal(s.ProbePath, "/h")
	is.Equal(len(s.Ranks), 1) // routes of one rank share it
	is.Equal(s.Upstreams, []patcher.Upstream{{Name: "u1", Address: netip.MustParseAddrPort("10.0.0.1:80"), Slots: 4, Connections: 10, Born: 1}})
	_, ok = g.Config()
	is.True(!ok) // nothing new
}

// TestOldDocument guards against a document that replaces a newer one, and against a
// second load of the same version.
func TestOldDocument(t *testing.T) {
	is := is.New(t)
	g := New()
	is.True(g.Load(document(3)))
	is.True(!g.Load(document(3)))
	is.True(!g.Load(document(2)))
	is.Equal(g.Document().Version, uint64(3))
}

// TestOldRegistration guards against delayed records that undo a drain, a
// restart or a deregistration.
func TestOldRegistration(t *testing.T) {
	for _, c := range []struct {
		name     string
		first    Registration
		removed  bool
		next     Registration
		accepted bool
	}{
		{"newer record", registration("u", 1, 5), false, registration("u", 1, 6), true},
		{"older record", registration("u", 1, 5), false, registration("u", 1, 4), false},
		{"later start", registration("u", 1, 5), false, registration("u", 2, 1), true},
		{"earlier start", registration("u", 2, 1), false, registration("u", 1, 9), false},
		{"delayed record after deregistration", registration("u", 1, 5), true, registration("u", 1, 5), false},
		{"newer record after deregistration", registration("u", 1, 5), true, registration("u", 1, 6), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			g := New()
			g.Register(c.first)
			if c.removed {
				is.True(g.Deregister(start, "u"))
			}
			c.next.Draining = true
			is.Equal(g.Register(c.next), c.accepted)
		})
	}
}

// TestRenewalGracePeriod guards against the loss of upstreams whose registrations expired
// during an outage of the registry, and against upstreams that stopped during it and stay
// for longer than the grace period.
func TestRenewalGracePeriod(t *testing.T) {
	is := is.New(t)
	g := New()
	g.Load(document(1))
	for _, name := range []string{"stopped", "running"} {
		g.Register(registration(name, 1, 1))
	}
	end := start.Add(RenewalGracePeriod)
	g.RegistryResumed(end)
	g.RetainOnly(start, map[string]bool{})
	is.Equal(upstreamNames(t, g), []string{"running", "stopped"})
	g.Register(registration("running", 1, 2))
	is.Equal(g.Expire(end.Add(-1)), end)
	is.True(g.Expire(end).IsZero())
	is.Equal(upstreamNames(t, g), []string{"running"})
	is.True(g.Deregister(end, "running")) // the grace period has ended
	is.Equal(upstreamNames(t, g), []string{})
}
