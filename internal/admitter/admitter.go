package admitter

import (
	"container/heap"
	"time"

	"github.com/azuretrestle/azuretrestle/pkg/classifier"
	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

// Item is a request that waits for a slot.
type Item struct {
	ID       uint64
	Rank     string
	Deadline time.Time
	// Size is the length of the held body in bytes.
	Size int64
}

// Queue holds the waiting requests of one service.
type Queue struct {
	ranks []*rankQueue
}

type rankQueue struct {
	patcher.Rank
	items itemHeap
}

type itemHeap []Item

func (h itemHeap) Len() int           { return len(h) }
func (h itemHeap) Less(i, j int) bool { return h[i].Deadline.Before(h[j].Deadline) }
func (h itemHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *itemHeap) Push(x any)        { *h = append(*h, x.(Item)) }
func (h *itemHeap) Pop() any {
	old := *h
	it := old[len(old)-1]
	*h = old[:len(old)-1]
	return it
}

// New returns an empty queue.
func New() *Queue { return &Queue{} }

// Update takes over the ranks of a service; waiting requests of known ranks stay.
func (q *Queue) Update(ranks []patcher.Rank) {
	old := make(map[string]*rankQueue)
	for _, r := range q.ranks {
		old[r.Name] = r
	}
	q.ranks = q.ranks[:0:0]
	for _, r := range ranks {
		rq := old[r.Name]
		if rq == nil {
			rq = &rankQueue{}
		}
		rq.Rank = r
		q.ranks = append(q.ranks, rq)
	}
}

// Offer adds a request; it returns OK or the code of the refusal.
func (q *Queue) Offer(now time.Time, it Item) classifier.Code {
	r := q.rank(it.Rank)
	if r == nil {
		return classifier.UnknownRank
	}
	if !now.Before(it.Deadline) {
		return classifier.DeadlinePassed
	}
	if len(r.items) >= r.MaxQueue {
		return classifier.QueueFull
	}
	heap.Push(&r.items, it)
	return classifier.OK
}

// Take removes and returns the request to dispatch next.
func (q *Queue) Take(_ time.Time) (Item, bool) {
	var best *rankQueue
	for _, r := range q.ranks {
		if len(r.items) == 0 {
			continue
		}
		if best == nil || r.Urgency < best.Urgency {
			best = r
		}
	}
	if best == nil {
		return Item{}, false
	}
	return heap.Pop(&best.items).(Item), true
}

// Expired removes and returns the requests whose deadline has passed.
func (q *Queue) Expired(now time.Time) []Item {
	var out []Item
	for _, r := range q.ranks {
		for len(r.items) > 0 && !now.Before(r.items[0].Deadline) {
			out = append(out, heap.Pop(&r.items).(Item))
		}
	}
	return out
}

// Remove takes a request out of the queue; it reports whether it was there.
func (q *Queue) Remove(id uint64, rank string) bool {
	r := q.rank(rank)
	if r == nil {
		return false
	}
	for i, it := range r.items {
		if it.ID == id {
			heap.Remove(&r.items, i)
			return true
		}
	}
	return false
}

func (q *Queue) rank(name string) *rankQueue {
	for _, r := range q.ranks {
		if r.Name == name {
			return r
		}
	}
	return nil
}
