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
	for _, s := range v.Unresolved() {
		out = append(out, Entry{Name: s.String(), PeerAddress: s})
	}
	slices.SortStableFunc(out, func(a, b Entry) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// count returns the number of entries in Known.
func (v *View) count() int {
	count := 0
	for _, e := range v.entries {
		if e.State != Stopped {
			count++
		}
	}
	if !v.listRead {
		count += len(v.Unresolved())
	}
	return count
}

// Majority is evidence from more than half of a number of known entries.
type Majority struct {
	// At is a time at or after which they were heard; zero if there is no evidence.
	At time.Time
	// Known is the number of known entries.
	Known int
}

// Majority returns the evidence in the view itself.
func (v *View) Majority(now time.Time) Majority {
	if v.get(v.self).State == Starting {
		return v.heardByNew()
	}
	return Majority{At: v.heardMajority(now), Known: v.count()}
}

// heardMajority returns the latest time at or after which more than half of the
// known entries were heard, or half of them with the lowest name among them;
// zero if there is none. Starting entries do not count as heard, since they may
// have forgotten a version that an earlier incarnation confirmed.
func (v *View) heardMajority(now time.Time) time.Time {
	heard := make([]time.Time, v.count())
	if len(heard) == 0 {
		// The entry itself is the last one and has stopped.
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
		// The name of an entry behind a seed may be the lowest one.
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

// heardByNew is Majority for an entry that is starting. Such an entry may
// know too few others, so that it counts the largest number that a peer knows,
// and it relies on no peer that is stale itself.
func (v *View) heardByNew() Majority {
	var heard []time.Time
	for _, e := range v.entries {
		if e.Name != v.self && (e.State == Alive || e.State == Leaving) && !e.Stale {
			heard = append(heard, e.HeardAt)
		}
	}
	known := max(v.count(), v.peersKnow)
	need := known/2 + 1
	if len(heard) < need {
		return Majority{}
	}
	slices.SortFunc(heard, newestFirst)
	return Majority{At: heard[need-1], Known: known}
}
