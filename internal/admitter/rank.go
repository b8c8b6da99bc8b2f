package admitter

import (
	"time"

	"github.com/azuretrestle/azuretrestle/pkg/classifier"
	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

const (
	// intervalDivisor is the reciprocal of the weight of a new sample in the mean dispatch
	// interval.
	intervalDivisor = 16
	// stallDivisor is the reciprocal of the share of the time since the last dispatch that
	// counts as the dispatch interval, so that a stall is noticed before the next dispatch.
	stallDivisor = 8
)

// rankQueue holds the waiting requests of one rank, late ones last and otherwise ordered
// by deadline.
type rankQueue struct {
	patcher.Rank
	items waiters
	// bytes is the total size of the held bodies.
	bytes int64
	// running is the number of attempts of the rank that hold a slot.
	running int
	// interval is the mean time between two dispatches while requests wait.
	interval time.Duration
	// dispatchedAt is the time of the last dispatch.
	dispatchedAt time.Time
	// nonEmptySince is when the queue last became non-empty.
	nonEmptySince time.Time
	// backlog is set if requests were still waiting after the last dispatch, so that the
	// time until the next one counts as a dispatch interval.
	backlog bool
}

// waiter is an item with its position in the heap.
type waiter struct {
	Item
	rank  *rankQueue
	index int
	// late is set once the request can no longer meet its target.
	late bool
}

type waiters []*waiter

func (h waiters) Len() int { return len(h) }

// Less puts late requests last, orders by deadline and breaks ties by the order of arrival.
func (h waiters) Less(i, j int) bool {
	if h[i].late != h[j].late {
		return !h[i].late
	}
	if h[i].Deadline.Equal(h[j].Deadline) {
		return h[i].ID < h[j].ID
	}
	return h[i].Deadline.Before(h[j].Deadline)
}

func (h waiters) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

func (h *waiters) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

func (h *waiters) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return w
}

// admit returns OK, or the code of the refusal if the queue is full or a request that
// arrives now can't be answered in time.
func (r *rankQueue) admit(now time.Time, it Item) classifier.Code {
	left := it.Deadline.Sub(now)
	if left <= 0 {
		return classifier.DeadlinePassed
	}
	if len(r.items) >= r.MaxQueue || len(r.items) > 0 && r.bytes+it.Size > maxBytes {
		return classifier.QueueFull
	}
	wait := r.expectedWait(now)
	if wait > 0 && (wait+it.Expected > left || wait > r.Target.Duration/waitDivisor) {
		return classifier.DeadlineUnreachable
	}
	if wait > 0 && !it.late(now) && it.late(now.Add(wait)) {
		return classifier.DeadlineUnreachable
	}
	return classifier.OK
}

// expectedWait estimates the time until a request that arrives now is dispatched.
func (r *rankQueue) expectedWait(now time.Time) time.Duration {
	if len(r.items) == 0 {
		return 0
	}
	since := r.dispatchedAt
	if r.nonEmptySince.After(since) {
		since = r.nonEmptySince
	}
	interval := max(r.interval, now.Sub(since)/stallDivisor)
	return time.Duration(len(r.items)) * interval
}

// recordDispatch updates the dispatch interval. It has to be called before the request
// is removed from the heap.
func (r *rankQueue) recordDispatch(now time.Time) {
	if r.backlog {
		r.interval += (now.Sub(r.dispatchedAt) - r.interval) / intervalDivisor
	}
	r.dispatchedAt = now
	r.backlog = len(r.items) > 1
}

func (r *rankQueue) belowFloor(running int) bool {
	return float64(r.running) < r.Floor*float64(running)
}
