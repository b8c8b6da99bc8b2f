package balancer

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

// Report is what an upstream says of its load; it may be late or wrong.
type Report struct {
	InFlight int
	Queued   int
}

// Failure says how an attempt ended without a usable answer.
type Failure uint8

// The failures of an attempt.
const (
	FailureNone Failure = iota
	// FailureDial means that no connection could be opened.
	FailureDial
	// FailureLost means that the connection broke.
	FailureLost
	// FailureTimeout means that the deadline passed.
	FailureTimeout
	// FailureCancelled means that the entry cancelled the attempt.
	FailureCancelled
	// FailureTruncated means that the answer ended early.
	FailureTruncated
)

const candidates = 3

// Pool holds the upstreams of one service as one entry sees them.
type Pool struct {
	random     *rand.Rand
	dataCentre string
	upstreams  []*upstream
	byName     map[string]*upstream
	ranks      map[string]*rankLatency
}

type upstream struct {
	patcher.Upstream
	inFlight int
	latency  time.Duration
	failures int
	retryAt  time.Time
	draining bool
}

// Choice is the upstream picked for an attempt.
type Choice struct {
	Name        string
	Address     netip.AddrPort
	Connections int
	// Fresh asks for a new connection.
	Fresh bool
}

// New returns an empty pool for an entry in the given data centre.
func New(seed uint64, dataCentre string) *Pool {
	return &Pool{
		random:     rand.New(rand.NewPCG(seed, 1)),
		dataCentre: dataCentre,
		byName:     make(map[string]*upstream),
		ranks:      make(map[string]*rankLatency),
	}
}

// Update takes over the upstreams of a service; known ones keep their statistics.
func (p *Pool) Update(_ time.Time, s *patcher.Service) {
	byName := make(map[string]*upstream, len(s.Upstreams))
	p.upstreams = p.upstreams[:0]
	for _, u := range s.Upstreams {
		known, ok := p.byName[u.Name]
		if !ok || known.Address != u.Address {
			known = &upstream{}
		}
		known.Upstream = u
		byName[u.Name] = known
		p.upstreams = append(p.upstreams, known)
	}
	p.byName = byName
}

// Pick reserves a slot on an upstream; it fails if none has room.
func (p *Pool) Pick(now time.Time, exclude []string) (Choice, bool) {
	var best *upstream
	for range candidates {
		if len(p.upstreams) == 0 {
			break
		}
		u := p.upstreams[p.random.IntN(len(p.upstreams))]
		if !u.usable(now, exclude) {
			continue
		}
		if best == nil || u.score() < best.score() {
			best = u
		}
	}
	if best == nil {
		best = p.scan(now, exclude)
	}
	if best == nil {
		return Choice{}, false
	}
	best.inFlight++
	return Choice{Name: best.Name, Address: best.Address, Connections: best.Connections}, true
}

func (p *Pool) scan(now time.Time, exclude []string) *upstream {
	for _, u := range p.upstreams {
		if u.usable(now, exclude) {
			return u
		}
	}
	return nil
}

func (u *upstream) usable(now time.Time, exclude []string) bool {
	if u.Draining || u.draining || u.inFlight >= u.Slots || now.Before(u.retryAt) {
		return false
	}
	for _, n := range exclude {
		if n == u.Name {
			return false
		}
	}
	return true
}

func (u *upstream) score() float64 {
	return float64(u.inFlight+1) / float64(u.Slots) * float64(u.latency+time.Millisecond)
}

// Feedback is what an attempt taught about its upstream.
type Feedback struct {
	Rank     string
	Started  time.Time
	Failure  Failure
	NotRun   bool
	Draining bool
	Report   *Report
}

// Finish releases the slot of an attempt and learns from it.
func (p *Pool) Finish(now time.Time, name string, f Feedback) {
	u, ok := p.byName[name]
	if !ok {
		return
	}
	u.inFlight--
	u.draining = u.draining || f.Draining
	if f.Failure == FailureCancelled {
		return
	}
	if f.Failure != FailureNone {
		u.failures = min(u.failures+1, 8)
		u.retryAt = now.Add(10 * time.Millisecond << u.failures)
		return
	}
	u.failures = 0
	p.rank(f.Rank).observe(now.Sub(f.Started))
	u.latency += (now.Sub(f.Started) - u.latency) / 8
}
