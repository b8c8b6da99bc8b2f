package versioner

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

// BenchmarkSize measures how costs grow with the size of the configuration: the time
// to fold a patch of one upstream, and the size and the time of a checkpoint.
func BenchmarkSize(b *testing.B) {
	for _, services := range []int{1, 10, 100} {
		config := benchConfig(services)
		patch := patcher.Patch{ID: "p", Actor: "op", Operations: []patcher.Operation{
			patcher.PutUpstream{InService: "s000", Upstream: config.Services[0].Upstreams[0]},
		}}
		b.Run(fmt.Sprint("fold/services=", services), func(b *testing.B) {
			payload, err := EncodePatch(patch)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				l := &Log{config: config, byID: make(map[string]PatchOutcome)}
				if f := l.fold(Record{Payload: payload}); !f[0].Accepted {
					b.Fatal(f[0].Problem)
				}
			}
			b.ReportMetric(float64(len(payload)), "record-B")
		})
		b.Run(fmt.Sprint("checkpoint/services=", services), func(b *testing.B) {
			l := NewLog()
			l.config = config
			var payload []byte
			for b.Loop() {
				var err error
				payload, err = EncodeCheckpoint(l.Checkpoint(time.Time{}, nil))
				if err != nil {
					b.Fatal(err)
				}
				if _, err := DecodeCheckpoint(payload); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(payload)), "record-B")
		})
	}
}

// benchConfig returns a configuration with 13 upstreams and 3 ranks in each service.
func benchConfig(services int) *patcher.Config {
	c := &patcher.Config{}
	second := patcher.Period{Duration: time.Second}
	for i := range services {
		s := patcher.Service{Name: fmt.Sprintf("s%03d", i), MaxEntries: 8}
		for r := range 3 {
			s.Ranks = append(s.Ranks, patcher.Rank{
				Name: fmt.Sprint("rank", r), Kind: patcher.Idempotent, Target: second, Patience: second, MaxQueue: 100,
			})
		}
		for u := range 13 {
			s.Upstreams = append(s.Upstreams, patcher.Upstream{
				Name: fmt.Sprint("u", u), DataCentre: "a", Slots: 6, Connections: 220,
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i), byte(u)}), 80),
			})
		}
		c.Services = append(c.Services, s)
	}
	return c
}
