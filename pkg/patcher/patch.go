package patcher

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// Patch is a list of operations on one version of the configuration.
type Patch struct {
	// ID identifies the patch, so that appending it to the log twice has no second effect.
	ID string
	// Base is the version of the configuration that the patch applies to.
	Base       uint64
	Actor      string
	Operations []Operation
}

// Operation is one step of a patch.
type Operation interface{ operation() }

// PutService adds a service or replaces it completely.
type PutService struct{ Service }

// EditService adds a service without ranks and upstreams, or changes the values
// of an existing service and keeps its ranks and upstreams.
type EditService struct {
	Name            string
	MeasuringBudget float64
	MaxEntries      int
}

// RemoveService removes a service with all its ranks and upstreams.
type RemoveService struct{ Name string }

// PutRank adds a rank to a service or replaces it.
type PutRank struct {
	InService string
	Rank
}

// RemoveRank removes a rank from a service.
type RemoveRank struct{ InService, Name string }

// PutUpstream adds an upstream to a service or replaces it.
type PutUpstream struct {
	InService string
	Upstream
}

// RemoveUpstream removes an upstream from a service.
type RemoveUpstream struct{ InService, Name string }

func (PutService) operation()     {}
func (EditService) operation()    {}
func (RemoveService) operation()  {}
func (PutRank) operation()        {}
func (RemoveRank) operation()     {}
func (PutUpstream) operation()    {}
func (RemoveUpstream) operation() {}

type wirePatch struct {
	ID         string
	Base       uint64
	Actor      string
	Operations []wireOperation
}

type wireOperation struct {
	PutService     *PutService     `json:",omitempty"`
	EditService    *EditService    `json:",omitempty"`
	RemoveService  *RemoveService  `json:",omitempty"`
	PutRank        *PutRank        `json:",omitempty"`
	RemoveRank     *RemoveRank     `json:",omitempty"`
	PutUpstream    *PutUpstream    `json:",omitempty"`
	RemoveUpstream *RemoveUpstream `json:",omitempty"`
}

// MarshalJSON encodes the patch with one object per operation, keyed by its type.
func (p Patch) MarshalJSON() ([]byte, error) {
	w := wirePatch{ID: p.ID, Base: p.Base, Actor: p.Actor}
	for _, op := range p.Operations {
		var o wireOperation
		switch op := op.(type) {
		case PutService:
			o.PutService = &op
		case EditService:
			o.EditService = &op
		case RemoveService:
			o.RemoveService = &op
		case PutRank:
			o.PutRank = &op
		case RemoveRank:
			o.RemoveRank = &op
		case PutUpstream:
			o.PutUpstream = &op
		case RemoveUpstream:
			o.RemoveUpstream = &op
		}
		w.Operations = append(w.Operations, o)
	}
	return json.Marshal(w)
}

// UnmarshalJSON decodes a patch; it fails on an operation that is empty or has two types.
func (p *Patch) UnmarshalJSON(b []byte) error {
	var w wirePatch
	if err := json.Unmarshal(b, &w); err != nil {
		return err
	}
	*p = Patch{ID: w.ID, Base: w.Base, Actor: w.Actor}
	for i, o := range w.Operations {
		op, err := o.operation()
		if err != nil {
			return errors.Wrapf(err, "operation %d", i)
		}
		p.Operations = append(p.Operations, op)
	}
	return nil
}

func (o wireOperation) operation() (Operation, error) {
	var ops []Operation
	if o.PutService != nil {
		ops = append(ops, *o.PutService)
	}
	if o.EditService != nil {
		ops = append(ops, *o.EditService)
	}
	if o.RemoveService != nil {
		ops = append(ops, *o.RemoveService)
	}
	if o.PutRank != nil {
		ops = append(ops, *o.PutRank)
	}
	if o.RemoveRank != nil {
		ops = append(ops, *o.RemoveRank)
	}
	if o.PutUpstream != nil {
		ops = append(ops, *o.PutUpstream)
	}
	if o.RemoveUpstream != nil {
		ops = append(ops, *o.RemoveUpstream)
	}
	if len(ops) != 1 {
		return nil, errors.Errorf("has %d types, want 1", len(ops))
	}
	return ops[0], nil
}

// Apply returns the next version of the configuration and leaves c unchanged. It fails
// if the base of the patch is another version or the result is invalid.
func (c *Config) Apply(p Patch) (*Config, error) {
	if p.Base != c.Version {
		return nil, errors.Errorf("patch is against version %d, current is %d", p.Base, c.Version)
	}
	next := &Config{Version: c.Version + 1, Services: slices.Clone(c.Services)}
	for i, op := range p.Operations {
		if err := next.apply(op); err != nil {
			return nil, errors.Wrapf(err, "operation %d", i)
		}
	}
	if problems := next.Check(); len(problems) > 0 {
		return nil, errors.New(strings.Join(problems, "; "))
	}
	return next, nil
}

func (c *Config) apply(op Operation) error {
	switch op := op.(type) {
	case PutService:
		c.Services = upsert(c.Services, op.sorted(), serviceName)
		return nil
	case EditService:
		c.Services = upsert(c.Services, op.mergedInto(c), serviceName)
		return nil
	case RemoveService:
		return remove(&c.Services, op.Name, serviceName)
	case PutRank:
		return c.editService(op.InService, func(s *Service) error {
			s.Ranks = upsert(s.Ranks, op.Rank, rankName)
			return nil
		})
	case RemoveRank:
		return c.editService(op.InService, func(s *Service) error { return remove(&s.Ranks, op.Name, rankName) })
	case PutUpstream:
		return c.editService(op.InService, func(s *Service) error {
			s.Upstreams = upsert(s.Upstreams, op.Upstream, upstreamName)
			return nil
		})
	case RemoveUpstream:
		return c.editService(op.InService, func(s *Service) error { return remove(&s.Upstreams, op.Name, upstreamName) })
	default:
		return errors.Errorf("operation of unknown type %T", op)
	}
}

// mergedInto returns the edited service, with the ranks and upstreams that c has for it.
func (e EditService) mergedInto(c *Config) Service {
	var s Service
	if existing, ok := c.Service(e.Name); ok {
		s = *existing
	}
	s.Name = e.Name
	s.MeasuringBudget = e.MeasuringBudget
	s.MaxEntries = e.MaxEntries
	return s
}

func (c *Config) editService(service string, f func(*Service) error) error {
	s, ok := c.Service(service)
	if !ok {
		return errors.Errorf("no service %q", service)
	}
	return f(s)
}

func serviceName(s Service) string   { return s.Name }
func rankName(r Rank) string         { return r.Name }
func upstreamName(u Upstream) string { return u.Name }

// sorted returns the service with its ranks and upstreams sorted by name.
func (s Service) sorted() Service {
	s.Ranks = sortedBy(s.Ranks, rankName)
	s.Upstreams = sortedBy(s.Upstreams, upstreamName)
	return s
}

func sortedBy[T any](list []T, name func(T) string) []T {
	list = slices.Clone(list)
	slices.SortStableFunc(list, func(a, b T) int { return strings.Compare(name(a), name(b)) })
	return list
}

// upsert inserts or replaces v in a copy of the list, since earlier versions of the configuration
// share the list.
func upsert[T any](list []T, v T, name func(T) string) []T {
	list = slices.Clone(list)
	i, ok := slices.BinarySearchFunc(list, name(v), func(e T, n string) int { return strings.Compare(name(e), n) })
	if ok {
		list[i] = v
		return list
	}
	return slices.Insert(list, i, v)
}

func remove[T any](list *[]T, n string, name func(T) string) error {
	i := slices.IndexFunc(*list, func(e T) bool { return name(e) == n })
	if i < 0 {
		return errors.Errorf("nothing named %q to remove", n)
	}
	*list = slices.Delete(slices.Clone(*list), i, i+1)
	return nil
}
