package patcher

import (
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Config is one version of the configuration. Its slices are sorted by name and never modified in place.
type Config struct {
	Version  uint64
	Services []Service
}

// Service is a set of interchangeable upstreams with the ranks of their requests.
type Service struct {
	Name string
	// MeasuringBudget is the largest number of probes and load reads per second, summed over all entries.
	MeasuringBudget float64
	// MaxEntries is the largest number of entries that share the measuring budget.
	MaxEntries int
	Ranks      []Rank
	Upstreams  []Upstream
	// ProbePath is the path of probes on the upstream; if it is empty, the entry uses its default.
	ProbePath string `json:",omitempty"`
}

// Kind states whether a request may be executed more than once.
type Kind string

// The kinds of rank.
const (
	Idempotent Kind = "Idempotent"
	OnceOnly   Kind = "OnceOnly"
	// Unrepeatable requests are executed at most once each and carry no key. They are
	// retried only if no upstream can have executed them. Patches can't name this kind.
	Unrepeatable Kind = "Unrepeatable"
)

// Rank is a priority class of requests within a service.
type Rank struct {
	Name string
	Kind Kind
	// Urgency orders the ranks of a service; 0 is served first.
	Urgency int
	// Target is the latency within which a response counts as in time.
	Target Period
	// Patience is the default timeout of requests that carry no deadline.
	Patience Period
	// Floor is the share of the slots that the rank keeps under overload by other ranks, 0 to 1.
	Floor float64
	// MaxQueue bounds the number of requests that wait at one entry.
	MaxQueue int
	// MaxBody bounds the size of a request body in bytes.
	MaxBody int64
	// Attempts bounds the number of upstreams that one request may be sent to; 0 means
	// no bound beyond that of the entry.
	Attempts int `json:",omitempty"`
}

// Upstream is one server of a service.
type Upstream struct {
	Name       string
	Address    netip.AddrPort
	DataCentre string
	// Slots is the number of requests that the upstream executes concurrently.
	Slots int
	// Connections is the total number of connections that the upstream accepts.
	Connections int
	// Draining tells the entries to send no new requests to the upstream.
	Draining bool
	// Born distinguishes two starts of an upstream under the same name; 0 means unknown.
	Born int64 `json:",omitempty"`
}

// Period is a duration that is encoded as text, such as "50ms".
type Period struct{ time.Duration }

// MarshalText returns the period in the format of time.Duration.String.
func (p Period) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText parses the format of time.ParseDuration and returns that function's error.
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
