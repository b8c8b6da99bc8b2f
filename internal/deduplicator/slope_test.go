package deduplicator_test

import (
	"encoding/binary"
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"github.com/azuretrestle/azuretrestle/internal/deduplicator"
	"github.com/azuretrestle/azuretrestle/internal/sizer"
	"github.com/azuretrestle/azuretrestle/pkg/classifier"
)

func slopeKey(now time.Time, i int) string {
	u := uuid.UUID{6: 0x70, 8: 0x80}
	ms := uint64(now.UnixMilli())
	for b := range 6 {
		u[b] = byte(ms >> (8 * (5 - b)))
	}
	binary.BigEndian.PutUint32(u[12:], uint32(i))
	return deduplicator.Key{ID: u.String(), Witness: "entry-017", WitnessIncarnation: 1 << 41}.String()
}

// TestSlopeKeys guards against memory per key that grows with the size of the tables.
func TestSlopeKeys(t *testing.T) {
	is := is.New(t)
	const maxGrowth = 1.5
	perKey := make(map[int]float64)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for _, keys := range []int{650, 6500, 65000} {
		witness := sizer.RetainedBytes(func() any {
			table := deduplicator.NewWitnessTable("entry-017", 1<<41, deduplicator.Limits{})
			for i := range keys {
				key := slopeKey(now, i)
				owner := deduplicator.Holder{Name: "entry-018", Incarnation: 1 << 41, Sequence: uint64(i)}
				_, ok := table.Decide(now, deduplicator.Intent{Key: key, BodyDigest: 1, Owner: owner}).(deduplicator.Grant)
				is.True(ok)
				result := deduplicator.Result{Outcome: classifier.OutcomeDone, Status: 200, Kept: true, Body: fmt.Appendf(nil, "%0100d", i)}
				table.StoreResult(now, deduplicator.ResultCopy{Key: key, Owner: owner, Result: result})
			}
			return table
		})
		owner := sizer.RetainedBytes(func() any {
			table := deduplicator.NewOwnerTable(deduplicator.Limits{})
			for i := range keys {
				r, _, code := table.Open(now, slopeKey(now, i), 1)
				is.Equal(code, classifier.OK)
				is.True(r != nil)
			}
			return table
		})
		t.Log(sizer.Sample{Quantity: "witness-bytes", Size: keys, Value: witness})
		t.Log(sizer.Sample{Quantity: "owner-bytes", Size: keys, Value: owner})
		perKey[keys] = (witness + owner) / float64(keys)
	}
	is.True(perKey[65000] <= maxGrowth*perKey[650])
}
