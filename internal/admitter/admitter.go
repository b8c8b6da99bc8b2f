package admitter

import (
	"container/heap"
	"time"

	"github.com/azuretrestle/azuretrestle/pkg/classifier"
	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

// maxBytes bounds the held bodies of the waiting requests of one rank.
const maxBytes = 16 << 20

// waitShare is the part of a rank's target that a request may expect to wait.
// A longer queue adds latency without adding throughput, as in CoDel.
const waitShare = 3

// Item is a request that waits for a slot.
type Item struct {
	ID       uint64
	Rank     string
	Deadline time.Time
	// Due is when an answer no longer is in time; zero if that is not known. A
	// request that can't be answered by then gives way to those that can.
	Due time.Time
	// Size is the length of the held body in bytes.
	Size int64
	// Expected is the time that an upstream is expected to take.
	Expected time.Duration
}

// Queue holds the waiting requests of one service.
type Queue struct {
	ranks   []*rankQueue
	waiting map[uint64]*waiter
	running int
}

// New returns an empty queue.
func New() *Queue { return &Queue{waiting: make(map[uint64]*waiter)} }

// Update takes over the ranks of a service. A removed rank stays until its accepted requests have ended.
func (q *Queue) Update(ranks []patcher.Rank) {
	old := q.ranks
	q.ranks = make([]*rankQueue, 0, len(ranks))
	for _, r := range ranks {
		rq := find(old, r.Name)
		if rq == nil {
			rq = &rankQueue{}
		}
		rq.Rank = r
		q.ranks = append(q.ranks, rq)
	}
	for _, r := range old {
		if find(q.ranks, r.Name) == nil && (len(r.items) > 0 || r.running > 0) {
			q.ranks = append(q.ranks, r)
		}
	}
	q.running = 0
	for _, r := range q.ranks {
		q.running += r.running
	}
}

// Offer adds a request; it returns OK or the code of the refusal.
func (q *Queue) Offer(now time.Time, it Item) classifier.Code {
	r := find(q.ranks, it.Rank)
	if r == nil {
		return classifier.UnknownRank
	}
	if code := r.admit(now, it); code != classifier.OK {
		return code
	}
	if it.late(now) && q.timely() {
		return classifier.DeadlineUnreachable
	}
	q.push(now, r, it)
	return classifier.OK
}

// Return puts a request back that was accepted before; it is never refused for load.
func (q *Queue) Return(now time.Time, it Item) bool {
	r := find(q.ranks, it.Rank)
	if r == nil {
		return false
	}
	q.push(now, r, it)
	return true
}

func (q *Queue) push(now time.Time, r *rankQueue, it Item) {
	if len(r.items) == 0 {
		r.waitsSince = now
	}
	w := &waiter{Item: it, rank: r, late: it.late(now)}
	heap.Push(&r.items, w)
	r.bytes += it.Size
	q.waiting[it.ID] = w
}

// Next returns the request to dispatch next without removing it: that of the
// most urgent rank below its floor, otherwise that of the most urgent rank.
func (q *Queue) Next() (Item, bool) {
	var best *rankQueue
	for _, r := range q.ranks {
		if len(r.items) > 0 && (best == nil || q.before(r, best)) {
			best = r
		}
	}
	if best == nil {
		return Item{}, false
	}
	return best.items[0].Item, true
}

func (q *Queue) before(a, b *rankQueue) bool {
	if late := a.items[0].late; late != b.items[0].late {
		return !late
	}
	if below := a.belowFloor(q.running); below != b.belowFloor(q.running) {
		return below
	}
	return a.Urgency < b.Urgency
}

// Age puts the requests that can no longer be answered in time behind the
// others; it returns those that have to give way because others still can.
func (q *Queue) Age(now time.Time) []Item {
	var late []*waiter
	for _, r := range q.ranks {
		for len(r.items) > 0 && !r.items[0].late && r.items[0].Item.late(now) {
			r.items[0].late = true
			heap.Fix(&r.items, 0)
		}
	}
	if !q.timely() {
		return nil
	}
	for _, r := range q.ranks {
		for _, w := range r.items {
			if w.late {
				late = append(late, w)
			}
		}
	}
	out := make([]Item, 0, len(late))
	for _, w := range late {
		q.Remove(w.ID)
		out = append(out, w.Item)
	}
	return out
}

// timely reports whether a request waits that can still be answered in time.
func (q *Queue) timely() bool {
	for _, r := range q.ranks {
		if len(r.items) > 0 && !r.items[0].late && !r.items[0].Due.IsZero() {
			return true
		}
	}
	return false
}

// late reports whether a request can't be answered in time any more.
func (it Item) late(now time.Time) bool {
	return !it.Due.IsZero() && now.Add(it.Expected).After(it.Due)
}

// Take removes a waiting request that is dispatched now.
func (q *Queue) Take(now time.Time, id uint64) {
	w, ok := q.waiting[id]
	if !ok {
		return
	}
	w.rank.taken(now)
	q.Remove(id)
}

// Remove takes a request out of the queue; it reports whether it was there.
func (q *Queue) Remove(id uint64) bool {
	w, ok := q.waiting[id]
	if !ok {
		return false
	}
	delete(q.waiting, id)
	heap.Remove(&w.rank.items, w.index)
	w.rank.bytes -= w.Size
	return true
}

// Started counts an attempt of a rank that holds a slot until Ended.
func (q *Queue) Started(rank string) { q.count(rank, 1) }

// Ended gives back the slot of an attempt.
func (q *Queue) Ended(rank string) { q.count(rank, -1) }

func (q *Queue) count(rank string, n int) {
	if r := find(q.ranks, rank); r != nil {
		r.running += n
		q.running += n
	}
}

// Waiting returns the number of waiting requests of all ranks.
func (q *Queue) Waiting() int { return len(q.waiting) }

func find(ranks []*rankQueue, name string) *rankQueue {
	for _, r := range ranks {
		if r.Name == name {
			return r
		}
	}
	return nil
}
