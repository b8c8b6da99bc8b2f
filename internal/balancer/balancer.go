package balancer

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

// Report is what an upstream says of its load; it may be late or wrong.
type Report struct {
	InFlight int
	Queued   int
	// Pace is how long work takes at the moment as a multiple of the usual; 0 if it is not told.
	Pace float64
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
	// FailureStatus means that the answer was an error of the upstream.
	FailureStatus
	// FailureSilent means that the connection of the attempt went silent.
	FailureSilent
)

const (
	// candidates is the number of upstreams compared for a choice.
	candidates = 4
	// maxLooks bounds the upstreams looked at while most have no room.
	maxLooks = 32
	// maxStrides bounds the strides that a pool keeps.
	maxStrides = 64
)

// Pool holds the upstreams of one service as one entry sees them.
type Pool struct {
	random     *rand.Rand
	dataCentre string
	upstreams  []*upstream
	byName     map[string]*upstream
	strides    []int
	ranks      map[string]*rankLatency
	// maxEntries is the number of entries that share the connections of an upstream.
	maxEntries int
	// freed is the upstream that last gave back a slot; it is always looked at, since
	// room may be rare, but last, so that it does not win ties.
	freed *upstream
	// ejected counts the upstreams that are ejected.
	ejected int
	// doubted lists the upstreams that get no work because of their state.
	doubted []*upstream
	probes  uint64
	changes []Change
	// meanPace is the mean pace over all reports; 0 while none told a pace.
	meanPace float64
	// untold counts the reports that told none.
	untold int
	crowd  crowding
	// fullShare is the share of the last looks that found an upstream full.
	fullShare float64
	warmth
}

// Need describes the request that an upstream is picked for.
type Need struct {
	Rank string
	// Urgent is set for the most urgent rank, which may use the last room of an upstream.
	Urgent bool
	// Idempotent is set if the request may run twice.
	Idempotent bool
	// Spare asks for an upstream with a free slot beyond the known load.
	Spare bool
	// Fresh asks for a new connection.
	Fresh bool
	// AnyPace is set if the request may go to an upstream that is slow at the moment.
	AnyPace bool
	// Tried names the upstreams that must not be picked again.
	Tried []string
}

// Choice is the upstream picked for an attempt.
type Choice struct {
	// Attempt has to be given to Finish once.
	Attempt     *Attempt
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
		maxEntries: 1,
	}
}

// Update takes over the upstreams of a service; known ones keep their statistics.
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
				known.comeBack(now, coldTime)
			}
		}
		if known.Draining && !u.Draining {
			p.rejoin(now, known)
		}
		known.Upstream = u
		known.least = p.least(u.Slots, s.MaxEntries)
		byName[u.Name] = known
		p.upstreams = append(p.upstreams, known)
		p.note(now, known)
	}
	for _, u := range p.byName {
		if byName[u.Name] != u {
			p.restore(u)
			p.trust(u)
			u.gone = true
		}
	}
	p.byName = byName
	p.freed = nil
	p.strides = p.newStrides()
}

// Len returns the number of upstreams in the configuration.
func (p *Pool) Len() int { return len(p.upstreams) }

// Pick reserves a slot on an upstream; it fails if none has room. It compares a
// few random upstreams (power of d choices, Mitzenmacher 2001), so that several
// entries with the same knowledge do not all choose the same one.
func (p *Pool) Pick(now time.Time, need Need) (Choice, bool) {
	best := p.best(now, need)
	if best == nil {
		return Choice{}, false
	}
	p.use(now, best)
	a := best.begin(now, p.rank(need.Rank))
	return Choice{
		Attempt: a, Name: best.Name, Address: best.Address,
		Connections: p.connections(best), Fresh: best.fresh(now, need),
	}, true
}

// connections is this entry's share of the connections that an upstream accepts.
func (p *Pool) connections(u *upstream) int { return max(1, u.Connections/p.maxEntries) }

func (p *Pool) best(now time.Time, need Need) *upstream {
	if len(p.upstreams) == 0 {
		return nil
	}
	var best *upstream
	cost, found := 0.0, 0
	consider := func(u *upstream) {
		if u == best || u.inFlight >= p.connections(u) || !p.usable(now, u, need) {
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
	for i := range min(n, maxLooks) {
		if found >= candidates {
			break
		}
		consider(p.upstreams[(start+i*step)%n])
	}
	if p.freed != nil {
		consider(p.freed)
	}
	return best
}

// least is this entry's share of the slots if all entries want them, rounded up or down at random.
func (p *Pool) least(slots, entries int) int {
	share := float64(slots) / float64(max(entries, 1))
	return int(share + p.random.Float64())
}

// newStrides returns some random strides that each visit every upstream, so
// that neighbours in the list are not tied together.
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

func (p *Pool) usable(now time.Time, u *upstream, need Need) bool {
	if u.leaving() || !u.open(now, need) || u.inFlight >= p.limit(now, u, need.Urgent) {
		return false
	}
	if u.onTrial() || p.shunned(now, u, need.AnyPace) {
		return false
	}
	if need.Spare && float64(u.inFlight)+u.othersNow(now)+1 > float64(u.Slots) {
		return false
	}
	return !slices.Contains(need.Tried, u.Name)
}

// Feedback is what an attempt taught about its upstream.
type Feedback struct {
	Failure  Failure
	NotRun   bool
	Draining bool
	Report   *Report
}

// Answered learns from an answer whose rest is still to come; Finish has to follow.
func (p *Pool) Answered(now time.Time, a *Attempt, f Feedback) {
	if a.answered {
		return
	}
	a.answered = true
	u := a.upstream
	u.unlink(a)
	if f.Draining {
		p.signal(now, u)
	}
	if f.Report != nil {
		p.observe(now, u, *f.Report)
	}
	p.learn(now, a, f)
}

// Finish releases the slot of an attempt and learns from it.
func (p *Pool) Finish(now time.Time, a *Attempt, f Feedback) {
	a.upstream.inFlight--
	if !a.upstream.gone {
		p.freed = a.upstream
	}
	p.Answered(now, a, f)
	if f.Failure == FailureTruncated {
		p.failed(now, a.upstream)
	}
}

func (p *Pool) learn(now time.Time, a *Attempt, f Feedback) {
	u := a.upstream
	switch {
	case f.NotRun:
		u.heard(now, a.started)
		u.shed(now)
	case f.Failure == FailureCancelled || f.Failure == FailureTimeout && a.slowness(now) < timeoutSlowness:
		u.outlived(now, a)
	case f.Failure == FailureTruncated || f.Failure == FailureSilent:
	case f.Failure != FailureNone:
		u.failedDial = f.Failure == FailureDial
		p.failed(now, u)
	default:
		u.heard(now, a.started)
		p.succeeded(now, u, a.started)
		u.answered()
		u.learn(now, a)
		u.smooth(now.Sub(a.started))
		a.rank.observe(now.Sub(a.started))
		p.learnCondition(a, now.Sub(a.started))
	}
}
