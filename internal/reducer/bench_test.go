package reducer

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// BenchmarkMembership measures how control traffic scales with the number of
// entries: bytes sent and received, processor time and memory of one node, and
// the share of time in which entries suspect others or refuse work without the log.
func BenchmarkMembership(b *testing.B) {
	for _, entries := range []int{6, 60, 240} {
		b.Run(fmt.Sprint("entries=", entries), func(b *testing.B) {
			for b.Loop() {
				benchmarkMembership(b, entries)
			}
		})
	}
}

func benchmarkMembership(b *testing.B, entries int) {
	before := heapBytes()
	c := newCluster(b)
	for i := range entries {
		c.names = append(c.names, fmt.Sprint("entry", i))
	}
	for _, name := range c.names {
		c.add(name)
	}
	c.run(2 * time.Minute)
	up := c.measure(10)
	b.ReportMetric(up.cpu, "log-up-µs-CPU/s")
	b.ReportMetric(up.refusing, "log-up-idle")
	at := c.now
	answer := c.submitAndWait(c.names[0], "p1", 0)
	b.ReportMetric(c.now.Sub(at).Seconds(), "accept-s")
	b.ReportMetric(float64(len(answer.Pending)), "pending")
	b.ReportMetric(float64(heapBytes()-before)/float64(entries), "heap-B/node")
	c.log.down = true
	c.run(5 * time.Second)
	down := c.measure(20)
	b.ReportMetric(down.bytes, "wire-B/s")
	b.ReportMetric(down.cpu, "µs-CPU/s")
	b.ReportMetric(down.suspected, "suspected")
	b.ReportMetric(down.refusing, "idle")
}

// nodeLoad holds means over all nodes: bytes and µs of processor time per second,
// and the shares of time in which an entry is suspected and in which it refuses work.
type nodeLoad struct{ bytes, cpu, suspected, refusing float64 }

func (c *cluster) measure(seconds int) nodeLoad {
	c.sentBytes = 0
	c.stepTime = 0
	suspected, refusing := 0, 0
	entries := len(c.names)
	for range seconds {
		c.run(time.Second)
		for _, name := range c.names {
			suspected += entries - len(c.nodes[name].node.view.Alive(c.now))
		}
		refusing += entries - len(c.accepting())
	}
	samples := float64(entries * seconds)
	return nodeLoad{
		bytes: 2 * float64(c.sentBytes) / samples, cpu: float64(c.stepTime.Microseconds()) / samples,
		suspected: float64(suspected) / samples / float64(entries), refusing: float64(refusing) / samples,
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// encodedSize returns the size of a message in CBOR, as the messenger sends it, without framing.
func encodedSize(m PeerMessage) int {
	e, ok := m.(Exchange)
	if !ok {
		return 0
	}
	b, err := cbor.Marshal(e.Exchange)
	if err != nil {
		panic(err)
	}
	return len(b)
}
