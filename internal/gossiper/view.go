package gossiper

import (
	"encoding/binary"
	"iter"
	"math/bits"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is the lifecycle state of an entry; within an incarnation it only advances.
type State uint8

// The states of an entry.
const (
	Starting State = iota
	Alive
	Leaving
	Stopped
)

// String returns the state's name.
func (s State) String() string {
	names := [...]string{"Starting", "Alive", "Leaving", "Stopped"}
	if int(s) < len(names) {
		return names[s]
	}
	return "Unknown"
}

// Timeouts of membership.
const (
	// SuspicionPeriod is how long an entry may be silent before it is suspected. Where
	// nobody uses the evidence, it grows with the number of entries.
	SuspicionPeriod = 2 * time.Second
	// PresencePeriod is how long an entry may be silent before it no longer counts as one
	// of those that share something. It exceeds the time of a restart.
	PresencePeriod = 10 * time.Second
	// ReplacementPeriod is how long a later incarnation must have been silent before an
	// earlier one may replace it, if AllowEarlierIncarnations was called. An entry restarts with an
	// earlier incarnation if its host's clock was set back. After this period no digest
	// holds rows of the later incarnation.
	ReplacementPeriod = 6 * time.Second
	// retentionPeriod is how long an entry is kept after it stopped or became silent.
	retentionPeriod = 10 * time.Minute
)

// Entry holds what is known about one entry.
type Entry struct {
	Name string
	// Incarnation is 0 if the entry is known only from the host list.
	Incarnation   uint64
	PeerAddress   netip.AddrPort
	CallerAddress netip.AddrPort
	DataCentre    string
	State         State
	// Version is the configuration version that the entry has in force.
	Version uint64
	// HeardAt is the latest time, by this node's clock, at which the entry is known to have run.
	HeardAt time.Time
	// AskedAt is when the last exchange with the entry was started.
	AskedAt time.Time
	// KnownAt is when this incarnation became known.
	KnownAt time.Time
	// ChangedAt is when State last changed.
	ChangedAt time.Time
	// Stale is set if the entry lacked evidence that its version is current.
	Stale bool
	// InFlight is the number of requests in flight at the entry.
	InFlight uint16
	// Listed is set if the entry is on the host list.
	Listed bool
	// ListedLeaving is set if the host list shows the entry as leaving.
	ListedLeaving bool
}

// id identifies an incarnation in digests.
func (e Entry) id() uint32 {
	b := binary.BigEndian.AppendUint64([]byte(e.Name), e.Incarnation)
	return uint32(xxhash.Sum64(b))
}

// Change is a new incarnation or state of an entry.
type Change struct {
	Name        string
	Incarnation uint64
	State       State
}

// View is one entry's view of all entries, including itself.
type View struct {
	self string
	// entries is sorted by name.
	entries []*Entry
	// byID maps the identifiers of incarnations to entries; an ambiguous one maps to nil.
	byID map[uint32]*Entry
	// wanted contains the identifiers in received rows whose profiles are missing.
	wanted []uint32
	// sent contains the newest messages that were sent, oldest first.
	sent []sentMessage
	// sequence is that of the last message sent.
	sequence uint32
	// rounds counts the calls of Next.
	rounds  uint64
	changes []Change
	// newestVersion is the highest known configuration version.
	newestVersion uint64
	seeds         []netip.AddrPort
	// maxPeerKnown is the largest number of known entries that a peer reported.
	maxPeerKnown int
	// hostListRead is set once a host list was read.
	hostListRead bool
	// earlierAllowed is set if an earlier incarnation may replace a silent later one.
	earlierAllowed bool
	// evidenceUnused is set if nobody uses the evidence from a majority.
	evidenceUnused bool
	// learnedAt is when a new incarnation of an entry was last learned of.
	learnedAt time.Time
}

// NewView returns a view that holds only the entry itself.
func NewView(self Entry, seeds ...netip.AddrPort) *View {
	v := &View{self: self.Name, byID: make(map[uint32]*Entry)}
	for _, s := range seeds {
		if s != self.PeerAddress && !slices.Contains(v.seeds, s) {
			v.seeds = append(v.seeds, s)
		}
	}
	v.insert(self)
	return v
}

// AllowEarlierIncarnations lets an earlier incarnation replace a later one after
// ReplacementPeriod. It may be used only if nothing but the order of messages depends
// on incarnations.
func (v *View) AllowEarlierIncarnations() { v.earlierAllowed = true }

// DisableEvidence lets digests spread new entries faster, at the cost of the evidence from
// a majority, which must not be used then.
func (v *View) DisableEvidence() { v.evidenceUnused = true }

// Outdated reports whether a later incarnation of an entry is known that the given
// one does not replace.
func (v *View) Outdated(now time.Time, name string, incarnation uint64) bool {
	e := v.get(name)
	return e != nil && e.Incarnation > incarnation && (!v.earlierAllowed || !e.silentFor(now, ReplacementPeriod))
}

// silentFor reports whether an incarnation has been known and silent for longer than d.
func (e *Entry) silentFor(now time.Time, d time.Duration) bool {
	return now.Sub(e.HeardAt) > d && now.Sub(e.KnownAt) > d
}

// SetStarted records when this incarnation started.
func (v *View) SetStarted(now time.Time) { v.get(v.self).KnownAt = now }

func (v *View) index(name string) (int, bool) {
	return slices.BinarySearchFunc(v.entries, name, func(e *Entry, n string) int { return strings.Compare(e.Name, n) })
}

func (v *View) get(name string) *Entry {
	if i, ok := v.index(name); ok {
		return v.entries[i]
	}
	return nil
}

func (v *View) insert(e Entry) {
	i, ok := v.index(e.Name)
	if ok {
		v.unindexID(v.entries[i])
		*v.entries[i] = e
	} else {
		v.entries = slices.Insert(v.entries, i, &e)
	}
	v.indexID(v.entries[i])
}

// indexID adds an entry to byID. An identifier that two entries share is marked as
// ambiguous, so that rows with it are ignored.
func (v *View) indexID(e *Entry) {
	id := e.id()
	if other, ok := v.byID[id]; ok && other != e {
		e = nil
	}
	v.byID[id] = e
}

func (v *View) unindexID(e *Entry) {
	if v.byID[e.id()] == e {
		delete(v.byID, e.id())
	}
}

// Self returns the entry itself.
func (v *View) Self() Entry { return *v.get(v.self) }

// Put stores an entry unless a newer state of it is known; it reports whether the view changed.
func (v *View) Put(e Entry) bool {
	have := v.get(e.Name)
	if have != nil && (have.Incarnation > e.Incarnation || have.Incarnation == e.Incarnation && have.State > e.State) {
		return false
	}
	if have != nil && *have == e {
		return false
	}
	v.replace(e)
	return true
}

// replace stores an entry unconditionally.
func (v *View) replace(e Entry) {
	have := v.get(e.Name)
	if have == nil || have.Incarnation != e.Incarnation || have.State != e.State {
		v.changes = append(v.changes, Change{Name: e.Name, Incarnation: e.Incarnation, State: e.State})
	}
	v.newestVersion = max(v.newestVersion, e.Version)
	v.insert(e)
}

// Changes returns the changes since the last call.
func (v *View) Changes() []Change {
	out := v.changes
	v.changes = nil
	return out
}

// Find returns the newest known incarnation of an entry.
func (v *View) Find(name string) (Entry, bool) {
	e := v.get(name)
	if e == nil {
		return Entry{}, false
	}
	return *e, true
}

// Entries returns all entries, sorted by name.
func (v *View) Entries() []Entry {
	out := make([]Entry, 0, len(v.entries))
	for _, e := range v.entries {
		out = append(out, *e)
	}
	return out
}

// Before returns the number of entries that have not stopped and sort before
// the entry itself by name. It copies no entries, since it is called for each probe.
func (v *View) Before() int {
	count := 0
	for _, e := range v.entries {
		if e.Name == v.self {
			break
		}
		if e.State != Stopped {
			count++
		}
	}
	return count
}

// All yields the entries in the order of names. The view must not change during the iteration.
func (v *View) All() iter.Seq[Entry] {
	return func(yield func(Entry) bool) {
		for _, e := range v.entries {
			if !yield(*e) {
				return
			}
		}
	}
}

// suspicionBits is the number of bits of the number of entries up to which SuspicionPeriod
// applies as it is.
const suspicionBits = 5

// suspicionPeriod returns how long an entry may be silent before it is suspected. Word of a
// living entry reaches all others in a time that grows with the logarithm of their number.
func (v *View) suspicionPeriod() time.Duration {
	if !v.evidenceUnused {
		return SuspicionPeriod
	}
	return SuspicionPeriod * time.Duration(max(bits.Len(uint(len(v.entries))), suspicionBits)) / suspicionBits
}

// Suspected reports whether an entry has been silent for so long that it may have failed.
func (v *View) Suspected(now time.Time, e Entry) bool {
	return now.Sub(e.HeardAt) > v.suspicionPeriod()
}

// Present returns the number of entries, itself included, that have not stopped and were
// heard from, or became known, within PresencePeriod.
func (v *View) Present(now time.Time) int {
	count := 0
	for _, e := range v.entries {
		if v.IsPresent(now, *e) {
			count++
		}
	}
	return count
}

// IsPresent reports whether an entry counts in Present.
func (v *View) IsPresent(now time.Time, e Entry) bool {
	return e.Name == v.self || e.State != Stopped && e.Incarnation != 0 && !e.silentFor(now, PresencePeriod)
}

// Alive returns the entries that are alive and not suspected, sorted by name.
func (v *View) Alive(now time.Time) []Entry {
	var out []Entry
	for _, e := range v.entries {
		if e.State == Alive && (e.Name == v.self || !v.Suspected(now, *e)) {
			out = append(out, *e)
		}
	}
	return out
}

// NewestVersion returns the highest known configuration version.
func (v *View) NewestVersion() uint64 { return v.newestVersion }

// Update sets the changing properties of the entry itself.
func (v *View) Update(now time.Time, state State, version uint64, inFlight int, stale bool) {
	e := v.get(v.self)
	v.advanceState(now, e, state)
	e.Version = version
	v.newestVersion = max(v.newestVersion, version)
	e.InFlight = uint16(min(inFlight, 1<<16-1))
	e.Stale = stale
	e.HeardAt = now
}

func (v *View) advanceState(now time.Time, e *Entry, s State) {
	if s <= e.State || s > Stopped {
		return
	}
	e.State = s
	e.ChangedAt = now
	v.changes = append(v.changes, Change{Name: e.Name, Incarnation: e.Incarnation, State: s})
}

// Age makes all that was heard from other entries older by d, for a time that this entry's
// clock leaves out.
func (v *View) Age(d time.Duration) {
	for _, e := range v.entries {
		if e.Name != v.self && !e.HeardAt.IsZero() {
			e.HeardAt = e.HeardAt.Add(-d)
		}
	}
}

// Forget removes entries that have been stopped, or silent and not on the host list, for
// 10 minutes. It removes an entry without a known incarnation once it is off the host list.
func (v *View) Forget(now time.Time) {
	before := now.Add(-retentionPeriod)
	v.entries = slices.DeleteFunc(v.entries, func(e *Entry) bool {
		drop := e.Name != v.self && e.expired(before)
		if drop {
			v.unindexID(e)
		}
		return drop
	})
}

func (e *Entry) expired(before time.Time) bool {
	if e.State == Stopped {
		return e.ChangedAt.Before(before)
	}
	if e.Listed {
		return false
	}
	return e.Incarnation == 0 || e.HeardAt.Before(before) && e.KnownAt.Before(before)
}

// Listing is one entry on the host list.
type Listing struct {
	Name       string
	Address    netip.AddrPort
	DataCentre string
	Leaving    bool
}

// ApplyHostList applies the host list, which only adds addresses to try and marks leaving entries.
func (v *View) ApplyHostList(now time.Time, list []Listing) {
	v.hostListRead = true
	for _, e := range v.entries {
		e.Listed = false
		e.ListedLeaving = false
	}
	for _, l := range list {
		e := v.get(l.Name)
		if e == nil {
			v.insert(Entry{Name: l.Name, PeerAddress: l.Address, DataCentre: l.DataCentre, KnownAt: now})
			e = v.get(l.Name)
		}
		e.Listed = true
		e.ListedLeaving = l.Leaving
		if e.Incarnation == 0 {
			e.PeerAddress = l.Address
		}
	}
}
