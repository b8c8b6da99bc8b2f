package reducer

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
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
	l.run(2 * time.Minute)
	up := l.measure(10)
	b.ReportMetric(up.cpu, "log-up-µs-CPU/s")
	b.ReportMetric(up.idle, "log-up-idle")
	at := l.now
	answer := l.put(l.names[0], "p1", 0)
	b.ReportMetric(l.now.Sub(at).Seconds(), "accept-s")
	b.ReportMetric(float64(len(answer.Pending)), "pending")
	b.ReportMetric(float64(liveBytes()-before)/float64(entries), "heap-B/node")
	l.log.down = true
	l.run(5 * time.Second)
	down := l.measure(20)
	b.ReportMetric(down.bytes, "wire-B/s")
	b.ReportMetric(down.cpu, "µs-CPU/s")
	b.ReportMetric(down.suspected, "suspected")
	b.ReportMetric(down.idle, "idle")
}

// load is the mean of the nodes: bytes and µs a second, and shares of the time.
type load struct{ bytes, cpu, suspected, idle float64 }

func (l *lab) measure(seconds int) load {
	l.sent = 0
	l.cpu = 0
	suspected, idle := 0, 0
	entries := len(l.names)
	for range seconds {
		l.run(time.Second)
		for _, name := range l.names {
			suspected += entries - len(l.nodes[name].node.view.Alive(l.now))
		}
		idle += entries - len(l.taking())
	}
	samples := float64(entries * seconds)
	return load{
		bytes: 2 * float64(l.sent) / samples, cpu: float64(l.cpu.Microseconds()) / samples,
		suspected: float64(suspected) / samples / float64(entries), idle: float64(idle) / samples,
	}
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
