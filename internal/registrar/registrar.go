package registrar

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/azuretrestle/azuretrestle/internal/router"
	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

// RenewalGracePeriod is the time after an outage of the registry within which upstreams
// whose registration expired during the outage have to register again.
const RenewalGracePeriod = 2 * time.Second

// Document is one complete version of the operator's configuration.
type Document struct {
	Version  uint64
	Routes   []router.Route
	Services []Service
	Limits   Limits
}

// Service is a service in the operator's document; its upstreams register themselves.
type Service struct {
	Name      string
	ProbePath string
	// Connections is the number of connections that each upstream accepts.
	Connections int
}

// Limits bounds the requests and connections of callers in size and time; zero means no bound.
type Limits struct {
	// Header and Body are in bytes.
	Header         int
	Body           int64
	HeaderPatience time.Duration
	Idle           time.Duration
}

// Registration is the record by which an upstream registers itself.
type Registration struct {
	Name       string
	Service    string
	Address    netip.AddrPort
	DataCentre string
	Slots      int
	Draining   bool
	// Born orders the starts of upstreams under one name, Sequence the records of one start.
	Born     int64
	Sequence int64
	// Warmup is the remaining time during which the upstream is slow after its start.
	Warmup time.Duration
}

// equivalent reports whether two registrations differ in nothing but Warmup and
// Sequence, which don't matter for routing.
func (r Registration) equivalent(o Registration) bool {
	r.Warmup, o.Warmup = 0, 0
	r.Sequence, o.Sequence = 0, 0
	return r == o
}

// newer reports whether a record is newer than another one of the same name.
func (r Registration) newer(o Registration) bool {
	if r.Born != o.Born {
		return r.Born > o.Born
	}
	return r.Sequence > o.Sequence
}

// activeRegistration is a registration that is in force.
type activeRegistration struct {
	Registration
	// graceEnd is when the registration is removed because it has been missing since an
	// outage of the registry; zero if it is not missing.
	graceEnd time.Time
}

// tombstonePeriod is how long a tombstone is kept, so that a delayed record doesn't
// restore the registration.
const tombstonePeriod = time.Minute

// tombstone is a removed registration.
type tombstone struct {
	Registration
	expiresAt time.Time
}

// Registrar holds the newest document and the registrations.
type Registrar struct {
	document   Document
	loaded     bool
	registered map[string]*activeRegistration
	tombstones map[string]tombstone
	// renewalGraceEnd is the end of the grace period, in which a missing registration stays in force.
	renewalGraceEnd time.Time
	// changed is set if the configuration has changed since the last call of Config.
	changed bool
}

// New returns a registrar without a document.
func New() *Registrar {
	return &Registrar{registered: make(map[string]*activeRegistration), tombstones: make(map[string]tombstone)}
}

// Loaded reports whether a document was loaded.
func (g *Registrar) Loaded() bool { return g.loaded }

// Document returns the newest document.
func (g *Registrar) Document() *Document { return &g.document }

// Load replaces the document; it reports false if the given one is not newer.
func (g *Registrar) Load(d Document) bool {
	if g.loaded && d.Version <= g.document.Version {
		return false
	}
	g.document = d
	g.loaded = true
	g.changed = true
	return true
}

// Register applies a registration unless a newer one is known; it reports whether
// that changes anything or renews a registration that has been missing.
func (g *Registrar) Register(r Registration) bool {
	if removed, ok := g.tombstones[r.Name]; ok && !r.newer(removed.Registration) {
		return false
	}
	current, ok := g.registered[r.Name]
	if ok && current.newer(r) {
		return false
	}
	if ok && current.equivalent(r) {
		returned := !current.graceEnd.IsZero()
		current.Sequence = r.Sequence
		current.graceEnd = time.Time{}
		return returned
	}
	g.registered[r.Name] = &activeRegistration{Registration: r}
	g.changed = true
	return true
}

// Deregister removes an upstream and reports whether it did so at once. During the
// grace period after an outage of the registry, in which registrations may be missing, the
// upstream stays until the end of that period.
func (g *Registrar) Deregister(now time.Time, name string) bool {
	e, ok := g.registered[name]
	if !ok {
		return false
	}
	if now.Before(g.renewalGraceEnd) {
		if e.graceEnd.IsZero() {
			e.graceEnd = g.renewalGraceEnd
		}
		return false
	}
	g.remove(now, e)
	return true
}

func (g *Registrar) remove(now time.Time, e *activeRegistration) {
	delete(g.registered, e.Name)
	g.tombstones[e.Name] = tombstone{e.Registration, now.Add(tombstonePeriod)}
	g.changed = true
}

// RetainOnly deregisters all upstreams except the named ones, after the registry was read in full.
func (g *Registrar) RetainOnly(now time.Time, names map[string]bool) {
	for _, name := range g.names() {
		if !names[name] {
			g.Deregister(now, name)
		}
	}
}

// RegistryResumed records that the registry answers again after an outage, because of which
// registrations may be missing until the given time.
func (g *Registrar) RegistryResumed(until time.Time) { g.renewalGraceEnd = until }

// Registrations returns the newest registrations, sorted by name.
func (g *Registrar) Registrations() []Registration {
	var out []Registration
	for _, name := range g.names() {
		out = append(out, g.registered[name].Registration)
	}
	return out
}

// RenewalGraceEnd returns the end of the period in which registrations may be missing
// because of an outage.
func (g *Registrar) RenewalGraceEnd() time.Time { return g.renewalGraceEnd }

// Expire removes the upstreams that did not register again after an outage. It
// returns when the next one is due for removal, zero if none is.
func (g *Registrar) Expire(now time.Time) (next time.Time) {
	for name, t := range g.tombstones {
		if now.After(t.expiresAt) {
			delete(g.tombstones, name)
		}
	}
	for _, name := range g.names() {
		e := g.registered[name]
		switch {
		case e.graceEnd.IsZero():
		case !now.Before(e.graceEnd):
			g.remove(now, e)
		case next.IsZero() || e.graceEnd.Before(next):
			next = e.graceEnd
		}
	}
	return next
}

func (g *Registrar) names() []string {
	out := make([]string, 0, len(g.registered))
	for name := range g.registered {
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
		e := g.registered[name]
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
