package sizer

import (
	"runtime"
	"time"
)

// RetainedBytes returns the heap growth in bytes, measured after garbage collection,
// that the value returned by build keeps alive.
func RetainedBytes(build func() any) float64 {
	before := heapBytes()
	retained := build()
	after := heapBytes()
	runtime.KeepAlive(retained)
	return float64(after) - float64(before)
}

func heapBytes() uint64 {
	// The second collection frees objects that finalizers and pools still held.
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// ShortestRun returns the shortest of several runs of f, since other load on the machine
// can only lengthen a run.
func ShortestRun(runs int, f func()) time.Duration {
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
