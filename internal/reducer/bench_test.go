package reducer

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/azuretrestle/azuretrestle/pkg/classifier"
)

// BenchmarkMembership gives the slopes of control traffic by number of entries:
// bytes sent and received, processor time and memory of one node, and the share
// of the time in which entries suspect others or take no work without the log.
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
	before := liveBytes()
	l := newLab(b)
	for i := range entries {
		l.names = append(l.names, fmt.Sprint("entry", i))
	}
	for _, name := range l.names {
		l.add(name)
	}
	l.run(30 * time.Second)
	l.cpu = 0
	l.run(10 * time.Second)
	b.ReportMetric(float64(l.cpu.Microseconds())/float64(10*entries), "log-up-µs-CPU/s")
	at := l.now
	answer := l.put(l.names[0], "p1", 0)
	b.ReportMetric(l.now.Sub(at).Seconds(), "accept-s")
	b.ReportMetric(float64(len(answer.Pending)), "pending")
	b.ReportMetric(float64(liveBytes()-before)/float64(entries), "heap-B/node")
	l.log.down = true
	l.run(5 * time.Second)
	l.sent = 0
	l.cpu = 0
	suspected, idle, samples := 0, 0, 0
	const seconds = 20
	for range seconds {
		l.run(time.Second)
		for _, name := range l.names {
			n := l.nodes[name].node
			n.now = l.now
			samples++
			suspected += entries - len(n.view.Alive(l.now))
			if n.refusal() != classifier.OK {
				idle++
			}
		}
	}
	nodeSeconds := float64(entries * seconds)
	b.ReportMetric(2*float64(l.sent)/nodeSeconds, "wire-B/s")
	b.ReportMetric(float64(l.cpu.Microseconds())/nodeSeconds, "µs-CPU/s")
	b.ReportMetric(float64(suspected)/float64(samples*entries), "suspected")
	b.ReportMetric(float64(idle)/float64(samples), "idle")
}

func liveBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// size is that of a message in CBOR, as the messenger sends it, without framing.
func size(m PeerMessage) int {
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
