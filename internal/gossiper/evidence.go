package gossiper

import (
	"slices"
	"strings"
	"time"
)

// Known returns the entries that count for majorities, sorted by name: all except
// the stopped ones. Until a host list is read, seeds that never answered count
// too, named by their address. Otherwise an entry that starts in isolation would
// consider itself a majority.
func (v *View) Known() []Entry {
	out := make([]Entry, 0, len(v.entries))
	for _, e := range v.entries {
		if e.State != Stopped {
			out = append(out, *e)
		}
	}
	if v.hostListRead {
		return out
	}
	for _, s := range v.UnresolvedSeeds() {
		out = append(out, Entry{Name: s.String(), PeerAddress: s})
	}
	slices.SortStableFunc(out, func(a, b Entry) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// knownCount returns the number of entries that Known returns.
func (v *View) knownCount() int {
	count := 0
	for _, e := range v.entries {
		if e.State != Stopped {
			count++
		}
	}
	if !v.hostListRead {
		count += len(v.UnresolvedSeeds())
	}
	return count
}

// Majority is the evidence that a majority of the known entries was heard from.
type Majority struct {
	// At is a time at or after which all members of the majority were heard from;
	// zero if there is no evidence.
	At time.Time
	// Known is the number of known entries.
	Known int
}

// Majority returns the evidence from the entry's own view.
func (v *View) Majority(now time.Time) Majority {
	if v.get(v.self).State == Starting {
		return v.startingMajority()
	}
	return Majority{At: v.majorityHeardAt(now), Known: v.knownCount()}
}

// majorityHeardAt returns the latest time at or after which more than half of the
// known entries were heard from, or half of them including the one with the lowest
// name; zero if there is none. Starting entries do not count as heard from, since
// they may have lost a version that an earlier incarnation confirmed.
func (v *View) majorityHeardAt(now time.Time) time.Time {
	heard := make([]time.Time, v.knownCount())
	if len(heard) == 0 {
		// The entry itself was the last one and has stopped.
		return time.Time{}
	}
	known := 0
	for _, e := range v.entries {
		if e.State != Stopped {
			heard[known] = v.heardAt(now, e)
			known++
		}
	}
	lowest := heard[0]
	if known < len(heard) {
		// The entry at an unresolved seed may have the lowest name.
		lowest = time.Time{}
	}
	slices.SortFunc(heard, newestFirst)
	best := heard[len(heard)/2]
	if len(heard)%2 != 0 {
		return best
	}
	half := heard[len(heard)/2-1]
	if lowest.Before(half) {
		half = lowest
	}
	if half.After(best) {
		return half
	}
	return best
}

func newestFirst(a, b time.Time) int { return b.Compare(a) }

// heardAt returns when an entry was last heard from as evidence for a majority, zero while
// the entry is starting.
func (v *View) heardAt(now time.Time, e *Entry) time.Time {
	switch {
	case e.State == Starting:
		return time.Time{}
	case e.Name == v.self:
		return now
	default:
		return e.HeardAt
	}
}

// startingMajority is Majority for an entry that is starting. Such an entry may know
// too few others. It therefore needs a majority of the largest number of entries that
// a peer knows, and doesn't rely on peers that are stale themselves.
func (v *View) startingMajority() Majority {
	var heard []time.Time
	for _, e := range v.entries {
		if e.Name != v.self && (e.State == Alive || e.State == Leaving) && !e.Stale {
			heard = append(heard, e.HeardAt)
		}
	}
	known := max(v.knownCount(), v.maxPeerKnown)
	need := known/2 + 1
	if len(heard) < need {
		return Majority{}
	}
	slices.SortFunc(heard, newestFirst)
	return Majority{At: heard[need-1], Known: known}
}
