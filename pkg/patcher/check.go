package patcher

import (
	"fmt"
	"regexp"
)

// Limits of a configuration.
const (
	MaxServices  = 1000
	MaxRanks     = 16
	MaxUpstreams = 10_000
	MaxSlots     = 100_000
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// ValidName reports whether s may name a service, rank, upstream or entry.
func ValidName(s string) bool { return namePattern.MatchString(s) }

// Check returns one line for each problem of the configuration, and none if it is valid.
func (c *Config) Check() []string {
	var p problems
	if len(c.Services) > MaxServices {
		p.add("", "%d services, at most %d", len(c.Services), MaxServices)
	}
	for _, s := range c.Services {
		s.check(&p)
	}
	return p
}

type problems []string

func (p *problems) add(where, format string, args ...any) {
	*p = append(*p, where+": "+fmt.Sprintf(format, args...))
}

func (s *Service) check(p *problems) {
	where := "Service " + s.Name
	if !ValidName(s.Name) {
		p.add(where, "invalid name")
	}
	if s.MeasuringBudget < 0 {
		p.add(where, "MeasuringBudget is negative")
	}
	if s.MaxEntries < 1 {
		p.add(where, "MaxEntries is below 1")
	}
	if len(s.Ranks) > MaxRanks {
		p.add(where, "%d ranks, at most %d", len(s.Ranks), MaxRanks)
	}
	if len(s.Upstreams) > MaxUpstreams {
		p.add(where, "%d upstreams, at most %d", len(s.Upstreams), MaxUpstreams)
	}
	s.checkRanks(p)
	s.checkUpstreams(p)
}

func (s *Service) checkRanks(p *problems) {
	floors := 0.0
	seen := make(map[string]bool)
	for _, r := range s.Ranks {
		where := "Rank " + s.Name + "/" + r.Name
		r.check(where, p)
		if seen[r.Name] {
			p.add(where, "named twice")
		}
		seen[r.Name] = true
		floors += r.Floor
	}
	if floors > 1 {
		p.add("Service "+s.Name, "floors add up to %.2f, at most 1", floors)
	}
}

func (r *Rank) check(where string, p *problems) {
	if !ValidName(r.Name) {
		p.add(where, "invalid name")
	}
	if r.Kind != Idempotent && r.Kind != OnceOnly {
		p.add(where, "Kind %q is not Idempotent or OnceOnly", r.Kind)
	}
	if r.Target.Duration <= 0 {
		p.add(where, "Target is not positive")
	}
	if r.Patience.Duration < r.Target.Duration {
		p.add(where, "Patience is shorter than Target")
	}
	if !(r.Floor >= 0 && r.Floor <= 1) {
		p.add(where, "Floor is not between 0 and 1")
	}
	if r.MaxQueue < 1 {
		p.add(where, "MaxQueue is below 1")
	}
	if r.MaxBody < 0 {
		p.add(where, "MaxBody is negative")
	}
}

func (s *Service) checkUpstreams(p *problems) {
	seen := make(map[string]bool)
	for _, u := range s.Upstreams {
		where := "Upstream " + s.Name + "/" + u.Name
		u.check(where, p)
		if seen[u.Name] {
			p.add(where, "named twice")
		}
		seen[u.Name] = true
	}
}

func (u *Upstream) check(where string, p *problems) {
	if !ValidName(u.Name) {
		p.add(where, "invalid name")
	}
	if !u.Address.IsValid() || u.Address.Port() == 0 {
		p.add(where, "Address is not an IP address and port")
	}
	if u.Slots < 1 || u.Slots > MaxSlots {
		p.add(where, "Slots is not between 1 and %d", MaxSlots)
	}
	if u.Connections < 1 {
		p.add(where, "Connections is below 1")
	}
}
