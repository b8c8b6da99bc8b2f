package patcher

import (
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Config is one version of the configuration; its slices are sorted by name and never changed in place.
type Config struct {
	Version  uint64
	Services []Service
}

// Service is a set of upstreams that serve the same work.
type Service struct {
	Name string
	// MeasuringBudget is the number of probes and load reads a second, all entries together.
	MeasuringBudget float64
	// MaxEntries is the largest number of entries that share the measuring budget.
	MaxEntries int
	Ranks      []Rank
	Upstreams  []Upstream
	// ProbePath is where an upstream answers probes; empty means the entry's own.
	ProbePath string `json:",omitempty"`
}

// Kind says whether a request may run more than once.
type Kind string

// The kinds of rank.
const (
	Idempotent Kind = "Idempotent"
	OnceOnly   Kind = "OnceOnly"
	// Unrepeatable requests run at most once each and carry no key. They are sent
	// again only if no upstream can have run them. Patches can't name this kind.
	Unrepeatable Kind = "Unrepeatable"
)

// Rank is a class of work within a service.
type Rank struct {
	Name string
	Kind Kind
	// Urgency orders the ranks of a service; 0 is served first.
	Urgency int
	// Target is the window within which an answer counts as in time.
	Target Period
	// Patience is the time to the deadline of a request that names none.
	Patience Period
	// Floor is the share of the slots the rank keeps in any flood, 0 to 1.
	Floor float64
	// MaxQueue bounds the requests waiting at one entry.
	MaxQueue int
	// MaxBody bounds a request body in bytes.
	MaxBody int64
	// Attempts bounds the upstreams that one request may run on; 0 means no bound
	// beyond that of the entry.
	Attempts int `json:",omitempty"`
}

// Upstream is one server of a service.
type Upstream struct {
	Name       string
	Address    netip.AddrPort
	DataCentre string
	// Slots is the number of requests the upstream runs at once.
	Slots int
	// Connections is the number of connections the upstream accepts in all.
	Connections int
	// Draining tells the entries to give the upstream no new work.
	Draining bool
	// Born tells two starts under one name apart, 0 if it is not known.
	Born int64 `json:",omitempty"`
}

// Period is a length of time that is written as text, such as "50ms".
type Period struct{ time.Duration }

// MarshalText returns the period in the form of time.Duration.String.
func (p Period) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText parses the form of time.ParseDuration; it returns that function's error.
func (p *Period) UnmarshalText(b []byte) error {
	d, err := time.ParseDuration(string(b))
	p.Duration = d
	return err
}

// Service returns the service with the given name.
func (c *Config) Service(name string) (*Service, bool) {
	i, ok := slices.BinarySearchFunc(c.Services, name, func(s Service, n string) int { return strings.Compare(s.Name, n) })
	if !ok {
		return nil, false
	}
	return &c.Services[i], true
}

// Rank returns the rank with the given name.
func (s *Service) Rank(name string) (*Rank, bool) {
	for i := range s.Ranks {
		if s.Ranks[i].Name == name {
			return &s.Ranks[i], true
		}
	}
	return nil, false
}

// Upstream returns the upstream with the given name.
func (s *Service) Upstream(name string) (*Upstream, bool) {
	for i := range s.Upstreams {
		if s.Upstreams[i].Name == name {
			return &s.Upstreams[i], true
		}
	}
	return nil, false
}
