package auditor

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestBuffer guards against audit entries that are lost without being counted, against
// appends more than once per second, and against a retry before retryInterval.
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
	b.FinishAppend(now, false)
	_, ok = b.Next(now.Add(retryInterval - 1))
	is.True(!ok)
	appends := 0
	for ; !b.Empty(); now = now.Add(100 * time.Millisecond) {
		if payload, ok := b.Next(now); ok {
			appends++
			trail.Read(payload)
			b.FinishAppend(now, true)
		}
	}
	is.Equal(appends, MaxBuffered/maxBatch)
	is.True(now.Sub(time.Unix(1000, 0)) >= retryInterval+time.Duration(appends-1)*time.Second)
	var restored Trail
	restored.Restore(trail.Last(maxTrail))
	is.Equal(len(restored.Entries()), maxTrail)
}

// TestRepeatedBatch guards against duplicate audit entries after the response to an append
// was lost.
func TestRepeatedBatch(t *testing.T) {
	var b Buffer
	var trail Trail
	b.Add(Entry{Origin: Origin("e1", 1, 1)})
	payload, _ := b.Next(time.Unix(1000, 0))
	trail.Read(payload)
	trail.Read(payload)
	is.New(t).Equal(len(trail.Entries()), 1)
}
