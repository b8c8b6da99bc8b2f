package patcher

import (
	"encoding/json"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

func service() Service {
	p := Period{Duration: time.Second}
	return Service{
		Name: "S", MeasuringBudget: 8, MaxEntries: 8,
		Ranks: []Rank{
			{Name: "Post", Kind: OnceOnly, Urgency: 1, Target: p, Patience: p, Floor: 0.4, MaxQueue: 10},
			{Name: "Lookup", Kind: Idempotent, Target: p, Patience: p, Floor: 0.6, MaxQueue: 10},
		},
		Upstreams: []Upstream{upstream("u2"), upstream("u1")},
	}
}

func upstream(name string) Upstream {
	return Upstream{Name: name, Address: netip.MustParseAddrPort("127.0.0.1:9000"), DataCentre: "a", Slots: 4, Connections: 8}
}

// TestApply guards against an operation with a wrong result, against an invalid or
// stale patch that is applied, and against a change of the previous version.
func TestApply(t *testing.T) {
	noSlots := upstream("u1")
	noSlots.Slots = 0
	excessFloor := service().Ranks[0]
	excessFloor.Name = "Bulk"
	for _, c := range []struct {
		name      string
		base      uint64
		op        Operation
		ok        bool
		ranks     int
		upstreams int
	}{
		{"stale base", 0, RemoveRank{"S", "Post"}, false, 0, 0},
		{"base above the current version", 2, RemoveRank{"S", "Post"}, false, 0, 0},
		{"remove rank", 1, RemoveRank{"S", "Post"}, true, 1, 2},
		{"remove an unknown rank", 1, RemoveRank{"S", "Bulk"}, false, 0, 0},
		{"unknown service", 1, RemoveRank{"T", "Post"}, false, 0, 0},
		{"floors above 1", 1, PutRank{"S", excessFloor}, false, 0, 0},
		{"add upstream", 1, PutUpstream{"S", upstream("u3")}, true, 2, 3},
		{"replace upstream", 1, PutUpstream{"S", upstream("u1")}, true, 2, 2},
		{"upstream without slots", 1, PutUpstream{"S", noSlots}, false, 0, 0},
		{"invalid name", 1, PutUpstream{"S", upstream("u/1")}, false, 0, 0},
		{"remove upstream", 1, RemoveUpstream{"S", "u1"}, true, 2, 1},
		{"edit service", 1, EditService{Name: "S", MeasuringBudget: 16, MaxEntries: 8}, true, 2, 2},
		{"edit adds a service", 1, EditService{Name: "T", MaxEntries: 8}, true, 2, 2},
		{"edit to an invalid value", 1, EditService{Name: "S", MaxEntries: 0}, false, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			first, err := new(Config).Apply(Patch{Operations: []Operation{PutService{service()}}})
			is.NoErr(err)
			before, err := json.Marshal(first)
			is.NoErr(err)
			next, err := first.Apply(Patch{Base: c.base, Operations: []Operation{c.op}})
			is.Equal(err == nil, c.ok)
			after, _ := json.Marshal(first)
			is.Equal(string(after), string(before))
			if !c.ok {
				return
			}
			s, ok := next.Service("S")
			is.True(ok)
			is.Equal(next.Version, uint64(2))
			is.Equal(len(s.Ranks), c.ranks)
			is.Equal(len(s.Upstreams), c.upstreams)
		})
	}
}

// TestPatchEncoding guards against an operation that is lost or changed by its encoding in the log.
func TestPatchEncoding(t *testing.T) {
	is := is.New(t)
	p := Patch{ID: "p", Base: 7, Actor: "op", Operations: []Operation{
		PutService{service()},
		RemoveService{"T"},
		PutRank{"S", service().Ranks[0]},
		RemoveRank{"S", "Post"},
		PutUpstream{"S", upstream("u3")},
		RemoveUpstream{"S", "u1"},
		EditService{Name: "S", MeasuringBudget: 16, MaxEntries: 8},
	}}
	b, err := json.Marshal(p)
	is.NoErr(err)
	var got Patch
	is.NoErr(json.Unmarshal(b, &got))
	is.Equal(got, p)
	for _, bad := range []string{`{"Operations":[{}]}`, `{"Operations":[{"RemoveService":{"Name":"a"},"RemoveRank":{"Name":"b"}}]}`, `[]`} {
		is.True(json.Unmarshal([]byte(bad), &got) != nil)
	}
}
