package gossiper

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

// view returns the view of an entry that last heard from the others the given numbers of seconds ago.
func view(self string, heard map[string]int) *View {
	v := NewView(Entry{Name: self, Incarnation: 1, State: Alive, KnownAt: start})
	for name, seconds := range heard {
		v.Put(Entry{Name: name, Incarnation: 1, State: Alive, HeardAt: start.Add(-time.Duration(seconds) * time.Second)})
	}
	return v
}

// TestMajority guards against a majority that contains too few entries, and against
// evidence that appears newer than it is.
func TestMajority(t *testing.T) {
	tests := []struct {
		name    string
		self    string
		heard   map[string]int
		seconds int
	}{
		{"alone", "a", nil, 0},
		{"two, lowest is self", "a", map[string]int{"b": 9}, 0},
		{"two, lowest is the other", "b", map[string]int{"a": 9}, 9},
		{"three", "c", map[string]int{"a": 9, "b": 3}, 3},
		{"four without the lowest", "d", map[string]int{"a": 9, "b": 1, "c": 5}, 5},
		{"four with the lowest", "d", map[string]int{"a": 2, "b": 3, "c": 5}, 2},
		{"five", "a", map[string]int{"b": 1, "c": 2, "d": 30, "e": 40}, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			at := view(tt.self, tt.heard).Majority(start).At
			is.New(t).Equal(start.Sub(at), time.Duration(tt.seconds)*time.Second)
		})
	}
}

// TestEvidenceOfPeers guards against evidence that counts as newer than the Ask that
// it answers, or that comes from a peer that knows too few entries.
func TestEvidenceOfPeers(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	tests := []struct {
		name  string
		step  Step
		known int
		state State
		delay time.Duration
		want  time.Time
	}{
		{"reply after 3 s", Reply, 3, Alive, 3 * time.Second, start.Add(-160 * time.Millisecond)},
		{"ask", Ask, 3, Alive, 0, time.Time{}},
		{"peer that knows fewer entries", Reply, 2, Alive, 0, time.Time{}},
		{"evidence from before the start", Reply, 3, Starting, 0, time.Time{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			v := view("a", map[string]int{"b": 9, "c": 9})
			v.get("a").State = tt.state
			ask := v.Compose(start, Ask, "b", 0, Facts{}, random)
			peer := view("b", map[string]int{"a": 0, "c": 0})
			now := start.Add(tt.delay)
			at := now.Add(-10 * ageUnit)
			facts := Facts{LogAt: at, Majority: Majority{At: at, Known: tt.known}}
			m := peer.Compose(now, tt.step, "a", ask.Sequence, facts, random)
			is.Equal(v.MajorityAt(m).At, tt.want)
			v.MergeMessage(now, m)
			e, _ := v.Find("b")
			is.True(!e.HeardAt.After(start))
		})
	}
}

// TestPut guards against a view that returns to an earlier incarnation or state.
func TestPut(t *testing.T) {
	is := is.New(t)
	v := view("a", nil)
	is.True(v.Put(Entry{Name: "b", Incarnation: 5, State: Leaving}))
	is.True(!v.Put(Entry{Name: "b", Incarnation: 5, State: Alive}))
	is.True(!v.Put(Entry{Name: "b", Incarnation: 4, State: Stopped}))
	is.True(v.Put(Entry{Name: "b", Incarnation: 6, State: Starting}))
	is.Equal(len(v.Changes()), 2)
}

// TestMajorityAllStopped guards against a panic in Majority after the last known entry has
// stopped.
func TestMajorityAllStopped(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	v := NewView(Entry{Name: "a", Incarnation: 1, State: Alive})
	v.ApplyHostList(now, nil)
	v.Update(now, Stopped, 1, 0, false)
	is.True(v.Majority(now).At.IsZero())
}

// TestEarlierIncarnation guards against an entry that is ignored for ever because its
// host's clock was set back before it restarted.
func TestEarlierIncarnation(t *testing.T) {
	for _, tt := range []struct {
		name    string
		allowed bool
		silence time.Duration
		want    uint64
	}{
		{"silent for longer than ReplacementPeriod", true, ReplacementPeriod + 1, 4},
		{"silent for ReplacementPeriod only", true, ReplacementPeriod, 5},
		{"not allowed", false, time.Minute, 5},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			v := NewView(Entry{Name: "a", Incarnation: 1, State: Alive})
			if tt.allowed {
				v.AllowEarlierIncarnations()
			}
			now := start.Add(time.Minute)
			heard := now.Add(-tt.silence)
			v.Put(Entry{Name: "b", Incarnation: 5, State: Stopped, HeardAt: heard, KnownAt: heard})
			is.Equal(v.Outdated(now, "b", 4), tt.want == 5)
			v.MergeMessage(now, Exchange{Profile: Profile{Name: "b", Incarnation: 4}})
			b, _ := v.Find("b")
			is.Equal(b.Incarnation, tt.want)
			v.MergeMessage(now, Exchange{Profile: Profile{Name: "b", Incarnation: 6}})
			b, _ = v.Find("b")
			is.Equal(b.Incarnation, uint64(6))
		})
	}
}
