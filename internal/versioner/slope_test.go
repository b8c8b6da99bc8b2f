package versioner_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azuretrestle/azuretrestle/internal/sizer"
	"github.com/azuretrestle/azuretrestle/internal/versioner"
	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

const upstreamsPerService = 13

// slopeService returns a service with 3 ranks and 13 upstreams, which is the mean number
// of upstreams at the target size.
func slopeService(number int) patcher.Service {
	second := patcher.Period{Duration: time.Second}
	s := patcher.Service{Name: fmt.Sprintf("Service%03d", number), MeasuringBudget: 60, MaxEntries: 60}
	for i, name := range []string{"Booking", "Lookup", "Upload"} {
		s.Ranks = append(s.Ranks, patcher.Rank{
			Name: name, Kind: patcher.Idempotent, Urgency: i, Target: second, Patience: second, Floor: 0.1, MaxQueue: 100, MaxBody: 1 << 20,
		})
	}
	for i := range upstreamsPerService {
		s.Upstreams = append(s.Upstreams, patcher.Upstream{
			Name: fmt.Sprintf("server-%03d-%02d", number, i), DataCentre: fmt.Sprintf("region-%d-dc-%02d", i%4, i),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 20, byte(number), byte(i)}), 8080), Slots: 6, Connections: 220,
		})
	}
	return s
}

func slopePatch(t *testing.T, base uint64, operations ...patcher.Operation) versioner.Record {
	t.Helper()
	p := patcher.Patch{ID: fmt.Sprint("patch-", base), Base: base, Actor: "operator", Operations: operations}
	payload, err := versioner.EncodePatch(p)
	if err != nil {
		t.Fatal(err)
	}
	return versioner.Record{Offset: base, Payload: payload}
}

func slopeLog(t *testing.T, services int) *versioner.Log {
	t.Helper()
	l := versioner.NewLog()
	for i := range services {
		l.Read(0, []versioner.Record{slopePatch(t, uint64(i), patcher.PutService{Service: slopeService(i)})})
	}
	return l
}

// TestSlopeConfig guards against a patch record whose size grows with the
// configuration, and against a fold whose allocations grow faster than the
// configuration. It reports the sizes and times.
func TestSlopeConfig(t *testing.T) {
	is := is.New(t)
	const maxGrowth = 1.5
	records, allocations := make(map[int]int), make(map[int]float64)
	for _, services := range []int{1, 10, 100} {
		upstreams := services * upstreamsPerService
		l := slopeLog(t, services)
		is.Equal(len(l.Config().Services), services)
		drain := slopeService(0).Upstreams[0]
		drain.Draining = true
		change := func(base uint64) versioner.Record {
			return slopePatch(t, base, patcher.PutUpstream{InService: "Service000", Upstream: drain})
		}
		records[services] = len(change(1000).Payload)
		fold := func() {
			base := l.Config().Version
			folded := l.Read(0, []versioner.Record{change(base)})
			is.True(folded[0].Accepted)
		}
		allocations[services] = testing.AllocsPerRun(20, fold)
		checkpoint, err := versioner.EncodeCheckpoint(slopeLog(t, services).Checkpoint(time.Unix(0, 0), nil))
		is.NoErr(err)
		decoding := sizer.ShortestRun(5, func() {
			_, err := versioner.DecodeCheckpoint(checkpoint)
			is.NoErr(err)
		})
		t.Log(sizer.Sample{Quantity: "patch-record-bytes", Size: upstreams, Value: float64(records[services])})
		t.Log(sizer.Sample{Quantity: "patch-fold-us", Size: upstreams, Value: float64(sizer.ShortestRun(20, fold).Microseconds())})
		t.Log(sizer.Sample{Quantity: "patch-fold-allocations", Size: upstreams, Value: allocations[services]})
		t.Log(sizer.Sample{Quantity: "checkpoint-bytes", Size: upstreams, Value: float64(len(checkpoint))})
		t.Log(sizer.Sample{Quantity: "checkpoint-decode-us", Size: upstreams, Value: float64(decoding.Microseconds())})
		t.Log(sizer.Sample{Quantity: "config-bytes", Size: upstreams, Value: sizer.RetainedBytes(func() any { return slopeLog(t, services) })})
	}
	is.Equal(records[100], records[1])
	is.True(allocations[100]/100 <= maxGrowth*allocations[1])
}
