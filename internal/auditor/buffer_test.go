package auditor

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestBuffer guards against records that are lost without being counted, that
// appear twice, or that are appended more than once a second.
func TestBuffer(t *testing.T) {
	is := is.New(t)
	var b Buffer
	var trail Trail
	now := time.Unix(1000, 0)
	for i := range uint64(MaxBuffered + 3) {
		b.Add(Entry{At: now, Origin: Origin("e1", 1, i)})
	}
	is.Equal(b.Lost(), uint64(3))
	payload, ok := b.Next(now)
	is.True(ok)
	trail.Read(payload)
	trail.Read(payload)
	checkUnique(t, trail)
	b.Finished(now, false)
	_, ok = b.Next(now.Add(retryPeriod - 1))
	is.True(!ok)
	appends := 0
	for ; !b.Empty(); now = now.Add(100 * time.Millisecond) {
		if payload, ok := b.Next(now); ok {
			appends++
			trail.Read(payload)
			b.Finished(now, true)
		}
	}
	is.Equal(appends, MaxBuffered/maxBatch)
	is.True(now.Sub(time.Unix(1000, 0)) >= retryPeriod+time.Duration(appends-1)*time.Second)
	var restored Trail
	restored.Restore(trail.Last(maxTrail))
	is.Equal(len(restored.Entries()), maxTrail)
}

func checkUnique(t *testing.T, trail Trail) {
	seen := make(map[string]bool)
	for _, e := range trail.Entries() {
		seen[e.Origin] = true
	}
	is.New(t).Equal(len(seen), maxTrail)
}
