package soaker

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/azuretrestle/azuretrestle/platform/faker"
)

// Fault is a fault or an operation that is injected into the system.
type Fault interface{ fault() }

type (
	// StopEntry stops an entry as planned and restarts it.
	StopEntry struct{ Entry int }
	// KillEntry kills an entry and restarts it.
	KillEntry struct{ Entry int }
	// PauseEntry suspends an entry's process until the end of the fault.
	PauseEntry struct{ Entry int }
	// ReloadEntry makes an entry reload its settings.
	ReloadEntry struct{ Entry int }
	// BreakLink puts a link into a faulty mode until the end of the fault.
	BreakLink struct {
		Link Link
		Mode Mode
	}
	// BreakStore makes the store fail until the end of the fault.
	BreakStore struct {
		Fault faker.StoreFault
		// Lapse removes the registrations of all upstreams when the fault begins.
		Lapse bool
	}
	// ExpireStore discards the history of the store.
	ExpireStore struct{}
	// BreakUpstream makes an upstream fail until the end of the fault.
	BreakUpstream struct {
		Upstream int
		Fault    faker.Fault
	}
	// DrainUpstream replaces an upstream by a new one; Silently removes its
	// registration without announcing the drain.
	DrainUpstream struct {
		Upstream int
		Silently bool
	}
	// CrashUpstream stops an upstream abruptly; Reuse gives its address to an upstream of another service.
	CrashUpstream struct {
		Upstream int
		Reuse    bool
	}
	// Configure writes a new version of the configuration.
	Configure struct{}
)

func (StopEntry) fault()     {}
func (KillEntry) fault()     {}
func (PauseEntry) fault()    {}
func (ReloadEntry) fault()   {}
func (BreakLink) fault()     {}
func (BreakStore) fault()    {}
func (ExpireStore) fault()   {}
func (BreakUpstream) fault() {}
func (DrainUpstream) fault() {}
func (CrashUpstream) fault() {}
func (Configure) fault()     {}

// Link identifies a proxy and so the connections that pass through it.
type Link struct {
	Side Side
	// Number is the number of the entry, or of the upstream for SideUpstream.
	Number int
}

// Side is the type of a link.
type Side uint8

// The sides of an entry that have links.
const (
	// SideCaller is the link from the callers to an entry.
	SideCaller Side = iota
	// SideStore is the link from an entry to the store.
	SideStore
	// SideUpstream is the link from all entries to an upstream.
	SideUpstream
	// sideCount is the number of sides.
	sideCount
)

func (s Side) String() string { return [...]string{"Caller", "Store", "Upstream"}[s] }

// Step is a fault with its time.
type Step struct {
	At time.Time
	// Until is when the fault ends; zero for an instantaneous fault.
	Until time.Time
	Fault
}

// Size is the number of entries and upstreams of a run.
type Size struct {
	Entries   int
	Upstreams int
}

const (
	// quietBefore is the time before the first fault.
	quietBefore = 4 * time.Second
	// quietAfter is the time after the last fault in runs that are too short to check recovery.
	quietAfter = 4 * time.Second
	// recoverySample is the time after recoveryBound over which recovery is measured.
	recoverySample = 2 * time.Second
	// minMeanInterval and maxMeanInterval bound the mean time between two faults,
	// which is drawn per seed: with few faults most entries stay undisturbed, with
	// many the faults overlap.
	minMeanInterval = 500 * time.Millisecond
	maxMeanInterval = 3 * time.Second
	// minKinds is the minimum number of elements of faultConstructors that a run draws from.
	minKinds = 3
	// maxFaultLength bounds the random part of a fault's length.
	maxFaultLength = 4 * time.Second
	// burstShare sets the share of bursts: one in burstShare draws adds a burst of faults.
	burstShare = 4
	// maxBurst bounds the number of faults in a burst.
	maxBurst = 5
)

// Plan returns the faults of a run. For given arguments the result is deterministic.
func Plan(seed uint64, start time.Time, length time.Duration, size Size) []Step {
	g := generator{random: rand.New(rand.NewPCG(seed, 1)), size: size}
	g.kinds = g.random.Perm(len(faultConstructors))[:minKinds+g.random.IntN(len(faultConstructors)-minKinds+1)]
	meanInterval := minMeanInterval + time.Duration(g.random.Int64N(int64(maxMeanInterval-minMeanInterval)))
	end := start.Add(length - quietAfter)
	if recovery := recoveryBound + recoverySample; length > 2*recovery {
		end = start.Add(length - recovery)
	}
	at := start.Add(quietBefore)
	for at.Before(end) {
		g.addFaults(at, end)
		at = at.Add(time.Duration(g.random.ExpFloat64() * float64(meanInterval)))
	}
	slices.SortStableFunc(g.steps, func(a, b Step) int { return a.At.Compare(b.At) })
	return g.steps
}

// generator draws the steps of a plan.
type generator struct {
	random *rand.Rand
	size   Size
	// kinds holds indices into faultConstructors; the run draws from these.
	kinds []int
	steps []Step
}

// addFaults adds a fault, or a burst of one kind at intervals of 0 to 600 ms.
func (g *generator) addFaults(at, end time.Time) {
	count := 1
	if g.random.IntN(burstShare) == 0 {
		count = 2 + g.random.IntN(maxBurst-1)
	}
	kind := g.kinds[g.random.IntN(len(g.kinds))]
	interval := time.Duration(g.random.IntN(3)) * 300 * time.Millisecond
	for ; count > 0 && at.Before(end); count-- {
		t := target{g.random.IntN(g.size.Entries), g.random.IntN(g.size.Upstreams)}
		f, lasting := faultConstructors[kind](g, t)
		s := Step{At: at, Fault: f}
		if lasting {
			s.Until = at.Add(200*time.Millisecond + time.Duration(g.random.Int64N(int64(maxFaultLength))))
			if s.Until.After(end) {
				s.Until = end
			}
		}
		g.steps = append(g.steps, s)
		at = at.Add(interval)
	}
}

// target is the entry and the upstream that a fault may apply to.
type target struct{ entry, upstream int }

// faultConstructors holds a constructor for each type of fault; one that is listed twice
// is drawn twice as often. Each returns a fault and reports whether the fault lasts for a time.
var faultConstructors = []func(*generator, target) (f Fault, lasting bool){
	planStop, planStop,
	func(_ *generator, t target) (Fault, bool) { return KillEntry{t.entry}, false },
	func(_ *generator, t target) (Fault, bool) { return PauseEntry{t.entry}, true },
	func(_ *generator, t target) (Fault, bool) { return ReloadEntry{t.entry}, false },
	planLink, planLink,
	planStore,
	func(*generator, target) (Fault, bool) { return ExpireStore{}, false },
	planUpstream,
	func(g *generator, t target) (Fault, bool) {
		return DrainUpstream{Upstream: t.upstream, Silently: g.random.IntN(3) == 0}, false
	},
	func(g *generator, t target) (Fault, bool) {
		return CrashUpstream{Upstream: t.upstream, Reuse: g.random.IntN(2) == 0}, false
	},
	planVersion, planVersion,
}

func planStop(_ *generator, t target) (Fault, bool) { return StopEntry{t.entry}, false }

func planVersion(*generator, target) (Fault, bool) { return Configure{}, false }

func planStore(g *generator, _ target) (Fault, bool) {
	faults := []faker.StoreFault{faker.StoreRefuses, faker.StoreResets, faker.StoreSilent, faker.StoreSlow}
	return BreakStore{Fault: faults[g.random.IntN(len(faults))], Lapse: g.random.IntN(2) == 0}, true
}

func planUpstream(g *generator, t target) (Fault, bool) {
	faults := []faker.Fault{faker.FaultShed, faker.FaultReset, faker.FaultSilent}
	return BreakUpstream{Upstream: t.upstream, Fault: faults[g.random.IntN(len(faults))]}, true
}

func planLink(g *generator, _ target) (Fault, bool) {
	l := Link{Side: Side(g.random.IntN(int(sideCount)))}
	l.Number = g.random.IntN(g.size.Entries)
	if l.Side == SideUpstream {
		l.Number = g.random.IntN(g.size.Upstreams)
	}
	return BreakLink{Link: l, Mode: ModeDelay + Mode(g.random.IntN(int(modeCount-ModeDelay)))}, true
}

// String formats the step as one line of the plan.
func (s Step) String() string {
	name := strings.TrimPrefix(fmt.Sprintf("%T%+v", s.Fault, s.Fault), "soaker.")
	if s.Until.IsZero() {
		return name
	}
	return fmt.Sprintf("%s for %s", name, s.Until.Sub(s.At).Round(time.Millisecond))
}
