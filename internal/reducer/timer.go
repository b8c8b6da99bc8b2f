package reducer

import (
	"container/heap"
	"time"
)

// timer calls a function of the node at its deadline.
type timer struct {
	deadline time.Time
	sequence uint64
	index    int
	fire     func()
}

type timerHeap []*timer

func (h timerHeap) Len() int { return len(h) }

// Less orders timers with equal deadlines by sequence, so that the order never
// depends on the heap's layout.
func (h timerHeap) Less(i, j int) bool {
	if h[i].deadline.Equal(h[j].deadline) {
		return h[i].sequence < h[j].sequence
	}
	return h[i].deadline.Before(h[j].deadline)
}

func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

func (h *timerHeap) Push(x any) {
	t := x.(*timer)
	t.index = len(*h)
	*h = append(*h, t)
}

func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	t.index = -1
	return t
}

// timers is the set of a node's pending timers.
type timers struct {
	heap     timerHeap
	sequence uint64
	// armedFor is the deadline of the last SetTimer effect, zero once it has fired.
	armedFor time.Time
}

func (ts *timers) start(deadline time.Time, fire func()) *timer {
	ts.sequence++
	t := &timer{deadline: deadline, sequence: ts.sequence, fire: fire}
	heap.Push(&ts.heap, t)
	return t
}

func (ts *timers) stop(t *timer) {
	if t != nil && t.index >= 0 {
		heap.Remove(&ts.heap, t.index)
	}
}

// popDue removes and returns the next timer whose deadline has passed, nil if there is none.
func (ts *timers) popDue(now time.Time) *timer {
	if len(ts.heap) == 0 || now.Before(ts.heap[0].deadline) {
		return nil
	}
	return heap.Pop(&ts.heap).(*timer)
}

// next returns the deadline for the driver's timer, if that has to change.
func (ts *timers) next() (time.Time, bool) {
	if len(ts.heap) == 0 {
		return time.Time{}, false
	}
	first := ts.heap[0].deadline
	if !ts.armedFor.IsZero() && !first.Before(ts.armedFor) {
		return time.Time{}, false
	}
	ts.armedFor = first
	return first, true
}
