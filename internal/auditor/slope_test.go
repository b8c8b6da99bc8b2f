package auditor_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azuretrestle/azuretrestle/internal/auditor"
	"github.com/azuretrestle/azuretrestle/internal/sizer"
)

// TestSlopeBuffer guards against memory per audit entry that grows with the number of
// buffered entries in an outage of the log, and against a buffer of unlimited size.
func TestSlopeBuffer(t *testing.T) {
	is := is.New(t)
	const maxGrowth, buffers = 1.5, 16
	perEntry := make(map[int]float64)
	for _, count := range []int{256, 1024, auditor.MaxBuffered, 2 * auditor.MaxBuffered} {
		var held []*auditor.Buffer
		bytes := sizer.RetainedBytes(func() any {
			for range buffers {
				b := new(auditor.Buffer)
				for i := range count {
					b.Add(auditor.Entry{
						At: time.Unix(int64(i), 0), Actor: "entry-017", Action: "MemberSilent", Subject: fmt.Sprintf("entry-%03d", i),
						Cause: "no sign of life", Version: 1000, Origin: auditor.Origin("entry-017", 1<<48, uint64(i)),
					})
				}
				held = append(held, b)
			}
			return held
		}) / buffers
		perEntry[count] = bytes / float64(min(count, auditor.MaxBuffered))
		is.Equal(held[0].Len(), min(count, auditor.MaxBuffered))
		if count <= auditor.MaxBuffered {
			t.Log(sizer.Sample{Quantity: "audit-buffer-bytes", Size: count, Value: bytes})
		}
	}
	is.True(perEntry[2*auditor.MaxBuffered] <= maxGrowth*perEntry[256])
}
