package gossiper

import (
	"maps"
	"net/netip"
	"slices"
	"time"
)

// State is the stage of an entry's life; within an incarnation it only advances.
type State uint8

// The states of an entry.
const (
	Starting State = iota
	Alive
	Leaving
	Stopped
)

// Entry is what is known of one entry.
type Entry struct {
	Name          string
	Incarnation   uint64
	PeerAddress   netip.AddrPort
	CallerAddress netip.AddrPort
	DataCentre    string
	State         State
	// Version is the configuration version that the entry has in force.
	Version uint64
	// HeardAt is the latest time, by this node's clock, at which the entry is known to have run.
	HeardAt time.Time
}

// View is one entry's knowledge of all entries, itself included.
type View struct {
	self    string
	entries map[string]*Entry
}

// NewView returns a view that holds only the entry itself.
func NewView(self Entry) *View {
	return &View{self: self.Name, entries: map[string]*Entry{self.Name: &self}}
}

// Self returns the entry's own row.
func (v *View) Self() Entry { return *v.entries[v.self] }

// Put takes over a row unless a newer one is known; it reports whether the view changed.
func (v *View) Put(e Entry) bool {
	have, ok := v.entries[e.Name]
	if ok && (have.Incarnation > e.Incarnation || have.Incarnation == e.Incarnation && have.State > e.State) {
		return false
	}
	v.entries[e.Name] = &e
	return !ok || *have != e
}

// Find returns the newest known incarnation of an entry.
func (v *View) Find(name string) (Entry, bool) {
	e, ok := v.entries[name]
	if !ok {
		return Entry{}, false
	}
	return *e, true
}

// Entries returns all rows, sorted by name.
func (v *View) Entries() []Entry {
	var out []Entry
	for _, name := range slices.Sorted(maps.Keys(v.entries)) {
		out = append(out, *v.entries[name])
	}
	return out
}
