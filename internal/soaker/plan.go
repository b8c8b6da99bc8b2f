package soaker

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/azuretrestle/azuretrestle/platform/faker"
)

// Fault is something that is done to the system.
type Fault interface{ fault() }

type (
	// StopEntry is a planned stop of an entry, which starts again.
	StopEntry struct{ Entry int }
	// KillEntry ends an entry at once, which starts again.
	KillEntry struct{ Entry int }
	// PauseEntry stops an entry's processor until the end of the fault.
	PauseEntry struct{ Entry int }
	// ReloadEntry tells an entry that its settings have changed.
	ReloadEntry struct{ Entry int }
	// BreakLink disturbs the connections of a link until the end of the fault.
	BreakLink struct {
		Link Link
		Mode Mode
	}
	// BreakStore makes the store fail until the end of the fault.
	BreakStore struct {
		Fault faker.StoreFault
		// Lapse drops the registrations meanwhile.
		Lapse bool
	}
	// ExpireStore drops the history of the store.
	ExpireStore struct{}
	// BreakUpstream makes an upstream fail until the end of the fault.
	BreakUpstream struct {
		Upstream int
		Fault    faker.Fault
	}
	// DrainUpstream replaces an upstream by a new one; Silently ends its
	// registration without a notice.
	DrainUpstream struct {
		Upstream int
		Silently bool
	}
	// CrashUpstream ends an upstream at once; Reuse gives its address to one of another service.
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

// Link names the connections that pass one proxy.
type Link struct {
	Side Side
	// Number is that of the entry, or of the upstream on SideUpstream.
	Number int
}

// Side is a kind of link.
type Side uint8

// The sides of an entry that have links.
const (
	// SideCaller holds the connections of callers to an entry.
	SideCaller Side = iota
	// SideStore holds the connections of an entry to the store.
	SideStore
	// SideUpstream holds the connections of all entries to an upstream.
	SideUpstream
	sides
)

// String returns the name of the side.
func (s Side) String() string { return [...]string{"Caller", "Store", "Upstream"}[s] }

// Step is a fault with its time.
type Step struct {
	At time.Time
	// Until is when the fault ends; zero for one that is over at once.
	Until time.Time
	Fault
}

// Size is the number of processes of a run.
type Size struct {
	Entries   int
	Upstreams int
}

const (
	// quietBefore is the time before the first fault.
	quietBefore = 4 * time.Second
	// quietAfter is the time after the last fault if the run is too short for recovery to be checked.
	quietAfter = 4 * time.Second
	// recoverSample is the time in which recovery is seen.
	recoverSample = 2 * time.Second
	// leastPause and mostPause bound the mean time between two faults, which a
	// seed draws: few faults leave most entries in touch, many overlap.
	leastPause = 500 * time.Millisecond
	mostPause  = 3 * time.Second
	// leastKinds is the number of kinds of fault that a run has at least.
	leastKinds = 3
	// longestFault bounds the length of a fault.
	longestFault = 4 * time.Second
	// seriesShare is the reciprocal share of the faults that come as a series.
	seriesShare = 4
	// longestSeries bounds the faults of a series.
	longestSeries = 5
)

// Plan returns the faults of a run, which follow from the seed alone.
func Plan(seed uint64, begun time.Time, length time.Duration, size Size) []Step {
	g := generator{random: rand.New(rand.NewPCG(seed, 1)), size: size}
	g.kinds = g.random.Perm(len(kinds))[:leastKinds+g.random.IntN(len(kinds)-leastKinds+1)]
	pause := leastPause + time.Duration(g.random.Int64N(int64(mostPause-leastPause)))
	end := begun.Add(length - quietAfter)
	if recovery := recoverBound + recoverSample; length > 2*recovery {
		end = begun.Add(length - recovery)
	}
	at := begun.Add(quietBefore)
	for at.Before(end) {
		g.draw(at, end)
		at = at.Add(time.Duration(g.random.ExpFloat64() * float64(pause)))
	}
	slices.SortStableFunc(g.steps, func(a, b Step) int { return a.At.Compare(b.At) })
	return g.steps
}

type generator struct {
	random *rand.Rand
	size   Size
	// kinds holds those that the run draws from.
	kinds []int
	steps []Step
}

// draw adds a fault, or a series of one kind with short or no pauses.
func (g *generator) draw(at, end time.Time) {
	count := 1
	if g.random.IntN(seriesShare) == 0 {
		count = 2 + g.random.IntN(longestSeries-1)
	}
	kind := g.kinds[g.random.IntN(len(g.kinds))]
	pause := time.Duration(g.random.IntN(3)) * 300 * time.Millisecond
	for ; count > 0 && at.Before(end); count-- {
		t := target{g.random.IntN(g.size.Entries), g.random.IntN(g.size.Upstreams)}
		f, lasting := kinds[kind](g, t)
		s := Step{At: at, Fault: f}
		if lasting {
			s.Until = at.Add(200*time.Millisecond + time.Duration(g.random.Int64N(int64(longestFault))))
			if s.Until.After(end) {
				s.Until = end
			}
		}
		g.steps = append(g.steps, s)
		at = at.Add(pause)
	}
}

// target is the entry and the upstream that a fault may strike.
type target struct{ entry, upstream int }

// kinds holds what a plan draws from; what is listed twice comes twice as often.
// Each draws a fault and reports whether it lasts.
var kinds = []func(*generator, target) (f Fault, lasting bool){
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
	l := Link{Side: Side(g.random.IntN(int(sides)))}
	l.Number = g.random.IntN(g.size.Entries)
	if l.Side == SideUpstream {
		l.Number = g.random.IntN(g.size.Upstreams)
	}
	return BreakLink{Link: l, Mode: ModeDelay + Mode(g.random.IntN(int(modes-ModeDelay)))}, true
}

// String returns the step in one line.
func (s Step) String() string {
	name := strings.TrimPrefix(fmt.Sprintf("%T%+v", s.Fault, s.Fault), "soaker.")
	if s.Until.IsZero() {
		return name
	}
	return fmt.Sprintf("%s for %s", name, s.Until.Sub(s.At).Round(time.Millisecond))
}
