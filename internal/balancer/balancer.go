package balancer

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

// Report is the load that an upstream reports; it may be outdated or wrong.
type Report struct {
	InFlight int
	Queued   int
	// Pace is the factor by which requests currently take longer than usual; 0 if not reported.
	Pace float64
}

// Failure is the way in which an attempt ended without a usable response.
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
	// FailureTruncated means that the response ended early.
	FailureTruncated
	// FailureStatus means that the response was an error of the upstream.
	FailureStatus
	// FailureSilent means that the connection of the attempt went silent.
	FailureSilent
)

const (
	// candidateCount is the number of upstreams compared for a choice.
	candidateCount = 4
	// maxScanned bounds the upstreams examined for a choice while most have no free slot.
	maxScanned = 32
	// maxStrides bounds the number of random strides that a pool draws.
	maxStrides = 64
)

// Pool holds the upstreams of one service as seen by one entry.
type Pool struct {
	random     *rand.Rand
	dataCentre string
	upstreams  []*upstream
	byName     map[string]*upstream
	strides    []int
	ranks      map[string]*rankLatency
	// maxEntries is the number of entries that share the connections of an upstream.
	maxEntries int
	// freed is the upstream on which a slot was released last. It is a candidate in
	// every choice, since free slots may be rare, but is compared last, so that it does
	// not win ties.
	freed *upstream
	// ejected counts the upstreams that are ejected.
	ejected int
	// excluded lists the upstreams that get no requests because they are ejected or
	// signalled a drain.
	excluded []*upstream
	probes   uint64
	changes  []Change
	// meanSlowdown is the mean slowdown over all reports; 0 while none contained one.
	meanSlowdown float64
	// withoutSlowdown counts the reports without a slowdown.
	withoutSlowdown int
	saturation      saturation
	// fullShare is the share of recent preflight probes that found the upstream full.
	fullShare  float64
	departures departures
	entries    entries
	warmSet
}

// Requirements describes what a request requires of the upstream picked for it.
type Requirements struct {
	Rank string
	// Urgent is set for the most urgent rank, which may use the last free slots of an upstream.
	Urgent bool
	// Idempotent is set if the request may run twice.
	Idempotent bool
	// Spare requires a free slot beyond the known load of all entries.
	Spare bool
	// Fresh requires a new connection.
	Fresh bool
	// Reported requires a recent report of the upstream's load, so that no probe is needed.
	Reported bool
	// MaxSlowdown is the reported slowdown from which an upstream is too slow for the
	// request; SlowThreshold if the request can wait for a faster one.
	MaxSlowdown float64
	// Tried names the upstreams that were tried already and must not be picked again.
	Tried []string
}

// Choice is the upstream picked for an attempt.
type Choice struct {
	// Attempt has to be passed to Finish or Release exactly once.
	Attempt     *Attempt
	Name        string
	Address     netip.AddrPort
	Connections int
	// Born distinguishes two starts of an upstream under the same name; 0 means unknown.
	Born int64
	// Fresh requires a new connection.
	Fresh bool
}

// New returns an empty pool for an entry in the given data centre.
func New(seed uint64, dataCentre string) *Pool {
	return &Pool{
		random:     rand.New(rand.NewPCG(seed, 1)),
		dataCentre: dataCentre,
		byName:     make(map[string]*upstream),
		ranks:      make(map[string]*rankLatency),
		departures: make(departures),
		maxEntries: 1,
	}
}

// Update applies the configuration of a service; known upstreams keep their statistics.
func (p *Pool) Update(now time.Time, s *patcher.Service) {
	for _, r := range s.Ranks {
		p.rank(r.Name).target = r.Target
	}
	p.maxEntries = max(1, s.MaxEntries)
	first := len(p.upstreams) == 0
	byName := make(map[string]*upstream, len(s.Upstreams))
	p.upstreams = p.upstreams[:0]
	for _, u := range s.Upstreams {
		known, ok := p.byName[u.Name]
		if !ok || known.Address != u.Address || known.Born != u.Born {
			known = newUpstream(u)
			if !first {
				known.beginSlowStart(now, joinSlowStart)
			}
		}
		announced := p.departures.contains(now, incarnation{u.Name, u.Born})
		if known.Draining && !u.Draining && !announced {
			p.rejoin(now, known)
		}
		known.Upstream = u
		if announced && !known.signalled {
			p.recordDrainSignal(now, known)
		}
		known.fairShare = p.fairShare(u.Slots, s.MaxEntries)
		byName[u.Name] = known
		p.upstreams = append(p.upstreams, known)
		p.recordChange(now, known)
	}
	for _, u := range p.byName {
		if byName[u.Name] != u {
			p.clearEjection(u)
			p.include(u)
			u.removed = true
		}
	}
	p.byName = byName
	p.freed = nil
	p.strides = p.newStrides()
}

// Len returns the number of upstreams in the configuration.
func (p *Pool) Len() int { return len(p.upstreams) }

// Pick reserves a slot on an upstream; it fails if no upstream is eligible. It
// compares a few random upstreams (power of d choices, Mitzenmacher 2001), so that
// several entries with the same knowledge do not all choose the same one.
func (p *Pool) Pick(now time.Time, requirements Requirements) (Choice, bool) {
	best := p.choose(now, requirements)
	if best == nil {
		return Choice{}, false
	}
	p.markUsed(now, best)
	a := best.startAttempt(now, p.rank(requirements.Rank))
	p.takeShare(now, best, a)
	return Choice{
		Attempt: a, Name: best.Name, Address: best.Address, Born: best.Born,
		Connections: p.connectionShare(best), Fresh: best.needsNewConnection(now, requirements),
	}, true
}

// connectionShare returns this entry's share of the connections that an upstream accepts.
func (p *Pool) connectionShare(u *upstream) int { return max(1, u.Connections/p.maxEntries) }

func (p *Pool) choose(now time.Time, requirements Requirements) *upstream {
	if len(p.upstreams) == 0 {
		return nil
	}
	var best *upstream
	cost, found := 0.0, 0
	consider := func(u *upstream) {
		if u == best || u.inFlight >= p.connectionShare(u) || !p.eligible(now, u, requirements) {
			return
		}
		found++
		if c := p.cost(now, u); best == nil || c < cost {
			best, cost = u, c
		}
	}
	p.considerWarm(now, consider)
	n := len(p.upstreams)
	start, step := p.random.IntN(n), p.strides[p.random.IntN(len(p.strides))]
	for i := range min(n, maxScanned) {
		if found >= candidateCount {
			break
		}
		consider(p.upstreams[(start+i*step)%n])
	}
	if p.freed != nil {
		consider(p.freed)
	}
	return best
}

// fairShare returns this entry's share of the slots if all entries use the
// upstream, rounded up or down at random.
func (p *Pool) fairShare(slots, entries int) int {
	share := float64(slots) / float64(max(entries, 1))
	return int(share + p.random.Float64())
}

// newStrides returns random strides that are coprime to the number of upstreams. Any
// of them reaches every upstream, and with several of them neighbours in the list are
// not always compared together.
func (p *Pool) newStrides() []int {
	out := []int{1}
	n := len(p.upstreams)
	for range maxStrides {
		if s := 1 + p.random.IntN(n+1); gcd(s, n) == 1 {
			out = append(out, s)
		}
	}
	return out
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

func (p *Pool) eligible(now time.Time, u *upstream, requirements Requirements) bool {
	if u.leaving() || !u.admits(now, requirements) || u.inFlight >= p.limit(now, u, requirements.Urgent) {
		return false
	}
	if u.limited && now.Before(u.opensAt) {
		return false
	}
	if u.tryingConnection() || p.skipped(now, u, requirements.MaxSlowdown) {
		return false
	}
	if requirements.Reported && now.Sub(u.reportedAt) >= freshReport {
		return false
	}
	if requirements.Spare && float64(u.inFlight)+u.otherRequestsNow(now)+1 > float64(u.Slots) {
		return false
	}
	return !slices.Contains(requirements.Tried, u.Name)
}

// Feedback is the result of an attempt.
type Feedback struct {
	Failure Failure
	// NotRun is set if the upstream refused the request without executing it.
	NotRun bool
	// Draining is set if the response signals a drain of the upstream.
	Draining bool
	// Report is the load report in the response, nil if there is none.
	Report *Report
}

// RecordResponse applies the feedback of a response whose body is still to come; Finish has to follow.
func (p *Pool) RecordResponse(now time.Time, a *Attempt, f Feedback) {
	if a.unlinked {
		return
	}
	a.unlinked = true
	u := a.upstream
	u.unlink(a)
	if f.Draining {
		p.recordDrainSignal(now, u)
	}
	if f.Report != nil {
		p.observe(now, u, *f.Report)
	}
	p.applyFeedback(now, a, f)
}

// Finish releases the slot of an attempt and applies its feedback.
func (p *Pool) Finish(now time.Time, a *Attempt, f Feedback) {
	a.upstream.inFlight--
	if !a.upstream.removed {
		p.freed = a.upstream
	}
	p.RecordResponse(now, a, f)
	if f.Failure == FailureTruncated {
		p.recordFailure(now, a.upstream)
	}
}

func (p *Pool) applyFeedback(now time.Time, a *Attempt, f Feedback) {
	u := a.upstream
	switch {
	case f.NotRun:
		u.recordAnswer(now, a.started)
		u.recordShed(now)
	case f.Failure == FailureCancelled || f.Failure == FailureTimeout && a.relativeLatency(now) < timeoutRelativeLatency:
		u.observeAbandoned(now, a)
	case f.Failure == FailureTruncated || f.Failure == FailureSilent:
	case f.Failure != FailureNone:
		u.failedDial = f.Failure == FailureDial
		p.recordFailure(now, u)
	default:
		u.recordAnswer(now, a.started)
		p.recordSuccess(now, u, a.started)
		u.raiseLimits()
		u.observeRelativeLatency(now, a)
		u.observeLatency(now.Sub(a.started))
		a.rank.observe(now.Sub(a.started))
		p.observeSaturation(a, now.Sub(a.started))
	}
}
