package sizer

import (
	"runtime"
	"time"
)

// Retained returns the growth of the heap in bytes, after garbage collection,
// by what build returns and keeps alive.
func Retained(build func() any) float64 {
	before := heap()
	kept := build()
	after := heap()
	runtime.KeepAlive(kept)
	return float64(after) - float64(before)
}

func heap() uint64 {
	// The second collection frees what finalizers and pools held.
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Fastest returns the shortest of several runs of f; other load on the machine
// only ever lengthens a run.
func Fastest(runs int, f func()) time.Duration {
	var best time.Duration
	for range runs {
		start := time.Now()
		f()
		if d := time.Since(start); best == 0 || d < best {
			best = d
		}
	}
	return best
}
