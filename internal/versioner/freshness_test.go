package versioner

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestFresh guards against accepting work when the evidence has expired or a newer
// version was not fetched in time.
func TestFresh(t *testing.T) {
	now := time.Unix(1000, 0)
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	tests := []struct {
		name  string
		f     Freshness
		fresh bool
	}{
		{"no evidence", Freshness{}, false},
		{"log", Freshness{LogAt: ago(EvidenceTTL - 1)}, true},
		{"log too old", Freshness{LogAt: ago(EvidenceTTL)}, false},
		{"peers", Freshness{LogAt: ago(time.Hour), PeersAt: ago(time.Second)}, true},
		{"time to fetch", Freshness{LogAt: now, BehindUntil: now.Add(1)}, true},
		{"newer version not fetched", Freshness{LogAt: now, PeersAt: now, BehindUntil: now}, false},
	}
	for _, tt := range tests {
		is.New(t).Equal(tt.f.Fresh(now), tt.fresh) // fresh
	}
}

// TestUnconfirmed guards against reporting a version as in force while an entry without
// it may still accept work.
func TestUnconfirmed(t *testing.T) {
	start := time.Unix(1000, 0)
	late := start.Add(SilencePeriod)
	entry := func(name string, version uint64, heardAt time.Time) Confirmation {
		return Confirmation{Name: name, Version: version, HeardAt: heardAt}
	}
	tests := []struct {
		name        string
		now         time.Time
		known       []Confirmation
		unconfirmed int
	}{
		{"all confirmed", start, []Confirmation{entry("a", 2, start), entry("b", 3, start)}, 0},
		{"one silent for less than SilencePeriod", late.Add(-1), []Confirmation{entry("a", 2, late), entry("b", 2, late), entry("c", 1, time.Time{})}, 1},
		{"one silent for SilencePeriod", late, []Confirmation{entry("a", 2, late), entry("b", 2, late), entry("c", 1, time.Time{})}, 0},
		{"one running with an older version", late, []Confirmation{entry("a", 2, late), entry("b", 2, late), entry("c", 1, start)}, 1},
		{"half confirmed", late, []Confirmation{entry("a", 2, late), entry("b", 1, time.Time{})}, 1},
		{"majority not heard again", late, []Confirmation{entry("a", 2, late), entry("b", 2, start), entry("c", 1, time.Time{})}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := Acceptance{Version: 2}
			a.Unconfirmed(start, tt.known)
			is.New(t).Equal(len(a.Unconfirmed(tt.now, tt.known)), tt.unconfirmed)
		})
	}
}
