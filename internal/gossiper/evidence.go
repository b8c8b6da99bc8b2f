package gossiper

import (
	"slices"
	"strings"
	"time"
)

// Known returns the entries that count for majorities, sorted by name: all but
// those that stopped. Until a host list was read, seeds that never answered
// count too, named by their address. Else an entry that starts in isolation
// would take itself for a majority.
func (v *View) Known() []Entry {
	out := make([]Entry, 0, len(v.entries))
	for _, e := range v.entries {
		if e.State != Stopped {
			out = append(out, *e)
		}
	}
	if v.listRead {
		return out
	}
	for _, s := range v.unresolved() {
		out = append(out, Entry{Name: s.String(), PeerAddress: s})
	}
	slices.SortStableFunc(out, func(a, b Entry) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// HeardMajority returns the latest time at or after which more than half of the
// known entries were heard, or half of them with the lowest name among them;
// zero if there is none. Starting entries do not count as heard, since they may
// have forgotten a version that an earlier incarnation confirmed.
func (v *View) HeardMajority(now time.Time) time.Time {
	if v.get(v.self).State == Starting {
		return v.heardByNew()
	}
	known := v.Known()
	heard := make([]time.Time, 0, len(known))
	for _, e := range known {
		heard = append(heard, v.heardAt(now, e))
	}
	if len(known) == 0 {
		return time.Time{}
	}
	lowest := heard[0]
	slices.SortFunc(heard, newestFirst)
	best := heard[len(known)/2]
	if len(known)%2 != 0 {
		return best
	}
	half := heard[len(known)/2-1]
	if lowest.Before(half) {
		half = lowest
	}
	if half.After(best) {
		return half
	}
	return best
}

func newestFirst(a, b time.Time) int { return b.Compare(a) }

func (v *View) heardAt(now time.Time, e Entry) time.Time {
	switch {
	case e.State == Starting:
		return time.Time{}
	case e.Name == v.self:
		return now
	default:
		return e.HeardAt
	}
}

// heardByNew is HeardMajority for an entry that is starting. Such an entry may
// know too few others, so that it counts the largest number that a peer knows,
// and it relies on no peer that is stale itself.
func (v *View) heardByNew() time.Time {
	known := 0
	var heard []time.Time
	for _, e := range v.Known() {
		known++
		if e.Name != v.self && e.State != Starting && !e.Stale {
			heard = append(heard, e.HeardAt)
		}
	}
	need := max(known, v.peersKnow)/2 + 1
	if len(heard) < need {
		return time.Time{}
	}
	slices.SortFunc(heard, newestFirst)
	return heard[need-1]
}
