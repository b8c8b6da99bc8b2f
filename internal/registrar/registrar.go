package registrar

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/azuretrestle/azuretrestle/internal/router"
	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

// LapsePeriod is the time after an outage of the registry in which upstreams
// whose registration expired meanwhile register again.
const LapsePeriod = 2 * time.Second

// Document is one version of the operator's configuration, whole.
type Document struct {
	Version  uint64
	Routes   []router.Route
	Services []Service
	Limits   Limits
}

// Service is a service as the operator describes it; its upstreams register themselves.
type Service struct {
	Name      string
	ProbePath string
	// Connections is the number of connections that each upstream accepts.
	Connections int
}

// Limits bounds what a caller may send, and how long it may take; zero means no bound.
type Limits struct {
	// Header and Body are in bytes.
	Header         int
	Body           int64
	HeaderPatience time.Duration
	Idle           time.Duration
}

// Registration is what an upstream says of itself.
type Registration struct {
	Name       string
	Service    string
	Address    netip.AddrPort
	DataCentre string
	Slots      int
	Draining   bool
	// Born orders the starts under one name, Sequence the records of one start.
	Born     int64
	Sequence int64
	// Warmup is how much longer the upstream stays slow.
	Warmup time.Duration
}

// same reports whether nothing has changed that matters for routing.
func (r Registration) same(o Registration) bool {
	r.Warmup, o.Warmup = 0, 0
	r.Sequence, o.Sequence = 0, 0
	return r == o
}

// after reports whether a record was made later than another one of the same name.
func (r Registration) after(o Registration) bool {
	if r.Born != o.Born {
		return r.Born > o.Born
	}
	return r.Sequence > o.Sequence
}

// entry is a registration that is held.
type entry struct {
	Registration
	// lapsedUntil is set if the registration is missing since an outage; the entry is dropped then.
	lapsedUntil time.Time
}

// forgetPeriod is how long a registration that ended is remembered, so that a
// record that was delayed doesn't bring it back.
const forgetPeriod = time.Minute

// departure is a registration that ended.
type departure struct {
	Registration
	forgetAt time.Time
}

// Registrar holds the newest document and the registrations.
type Registrar struct {
	document Document
	loaded   bool
	entries  map[string]*entry
	departed map[string]departure
	// lapseUntil ends the time in which a missing registration counts as lapsed.
	lapseUntil time.Time
	// changed is set while Config has news.
	changed bool
}

// New returns a registrar without a document.
func New() *Registrar {
	return &Registrar{entries: make(map[string]*entry), departed: make(map[string]departure)}
}

// Loaded reports whether a document was taken.
func (g *Registrar) Loaded() bool { return g.loaded }

// Document returns the newest document.
func (g *Registrar) Document() *Document { return &g.document }

// Load takes a document; it reports false if it is not newer than the one held.
func (g *Registrar) Load(d Document) bool {
	if g.loaded && d.Version <= g.document.Version {
		return false
	}
	g.document = d
	g.loaded = true
	g.changed = true
	return true
}

// Register takes a registration unless a later one is known; it reports whether
// that changes anything or ends a lapse.
func (g *Registrar) Register(r Registration) bool {
	if gone, ok := g.departed[r.Name]; ok && !r.after(gone.Registration) {
		return false
	}
	have, ok := g.entries[r.Name]
	if ok && have.after(r) {
		return false
	}
	if ok && have.same(r) {
		returned := !have.lapsedUntil.IsZero()
		have.Sequence = r.Sequence
		have.lapsedUntil = time.Time{}
		return returned
	}
	g.entries[r.Name] = &entry{Registration: r}
	g.changed = true
	return true
}

// Deregister drops an upstream. While registrations may have expired by an
// outage of the registry, it stays until the end of that time.
func (g *Registrar) Deregister(now time.Time, name string) bool {
	e, ok := g.entries[name]
	if !ok {
		return false
	}
	if now.Before(g.lapseUntil) {
		if e.lapsedUntil.IsZero() {
			e.lapsedUntil = g.lapseUntil
		}
		return false
	}
	g.drop(now, e)
	return true
}

func (g *Registrar) drop(now time.Time, e *entry) {
	delete(g.entries, e.Name)
	g.departed[e.Name] = departure{e.Registration, now.Add(forgetPeriod)}
	g.changed = true
}

// Keep deregisters all upstreams that are not named, after the registry was read in full.
func (g *Registrar) Keep(now time.Time, names map[string]bool) {
	for _, name := range g.names() {
		if !names[name] {
			g.Deregister(now, name)
		}
	}
}

// Resumed notes that the registry answers again after an outage, by which
// registrations may be missing until the given time.
func (g *Registrar) Resumed(until time.Time) { g.lapseUntil = until }

// Registrations returns the newest registrations, sorted by name.
func (g *Registrar) Registrations() []Registration {
	var out []Registration
	for _, name := range g.names() {
		out = append(out, g.entries[name].Registration)
	}
	return out
}

// LapseUntil is when the time ends in which registrations may be missing by an outage.
func (g *Registrar) LapseUntil() time.Time { return g.lapseUntil }

// Expire drops the upstreams that did not register again after an outage; it
// returns when the next one is due, zero if none is.
func (g *Registrar) Expire(now time.Time) (next time.Time) {
	for name, d := range g.departed {
		if now.After(d.forgetAt) {
			delete(g.departed, name)
		}
	}
	for _, name := range g.names() {
		e := g.entries[name]
		switch {
		case e.lapsedUntil.IsZero():
		case !now.Before(e.lapsedUntil):
			g.drop(now, e)
		case next.IsZero() || e.lapsedUntil.Before(next):
			next = e.lapsedUntil
		}
	}
	return next
}

func (g *Registrar) names() []string {
	out := make([]string, 0, len(g.entries))
	for name := range g.entries {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// Table returns the routes of the document.
func (g *Registrar) Table() *router.Table { return router.New(g.document.Routes) }

// Config returns the configuration if it has changed since the last call.
func (g *Registrar) Config() (*patcher.Config, bool) {
	if !g.changed || !g.loaded {
		return nil, false
	}
	g.changed = false
	c := &patcher.Config{Version: g.document.Version}
	ranks := ranksByService(g.document.Routes)
	upstreams := g.upstreams()
	for _, s := range g.document.Services {
		c.Services = append(c.Services, patcher.Service{
			Name: s.Name, Ranks: ranks[s.Name], Upstreams: upstreams[s.Name], ProbePath: s.ProbePath,
		})
	}
	slices.SortFunc(c.Services, func(a, b patcher.Service) int { return cmp.Compare(a.Name, b.Name) })
	return c, true
}

func (g *Registrar) upstreams() map[string][]patcher.Upstream {
	connections := make(map[string]int)
	for _, s := range g.document.Services {
		connections[s.Name] = s.Connections
	}
	out := make(map[string][]patcher.Upstream)
	for _, name := range g.names() {
		e := g.entries[name]
		out[e.Service] = append(out[e.Service], patcher.Upstream{
			Name: e.Name, Address: e.Address, DataCentre: e.DataCentre, Slots: e.Slots,
			Connections: connections[e.Service], Draining: e.Draining, Born: e.Born,
		})
	}
	return out
}

// ranksByService collects the distinct ranks of the routes to each service.
func ranksByService(routes []router.Route) map[string][]patcher.Rank {
	out := make(map[string][]patcher.Rank)
	for _, r := range routes {
		for _, s := range r.Shares {
			known := slices.ContainsFunc(out[s.Service], func(o patcher.Rank) bool { return o.Name == r.Rank.Name })
			if !known {
				out[s.Service] = append(out[s.Service], r.Rank)
			}
		}
	}
	for _, ranks := range out {
		slices.SortFunc(ranks, func(a, b patcher.Rank) int { return cmp.Compare(a.Name, b.Name) })
	}
	return out
}
