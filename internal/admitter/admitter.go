package admitter

import (
	"container/heap"
	"time"

	"github.com/azuretrestle/azuretrestle/pkg/classifier"
	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

// maxBytes bounds the total size of the bodies held for waiting requests of one rank.
const maxBytes = 16 << 20

// waitDivisor is the reciprocal of the share of a rank's target that the expected wait
// may take. A longer queue adds latency without adding throughput, as in CoDel.
const waitDivisor = 3

// Item is a request that waits for a slot.
type Item struct {
	ID       uint64
	Rank     string
	Deadline time.Time
	// Due is the time by which the response has to arrive to meet the target; zero if not
	// known. A request that can't meet it is evicted in favour of those that can.
	Due time.Time
	// Size is the length of the held body in bytes.
	Size int64
	// Expected is the expected latency of the upstream's response.
	Expected time.Duration
}

// Queue holds the waiting requests of one service.
type Queue struct {
	ranks   []*rankQueue
	waiting map[uint64]*waiter
	// running is the number of attempts of all ranks that hold a slot.
	running int
}

// New returns an empty queue.
func New() *Queue { return &Queue{waiting: make(map[uint64]*waiter)} }

// Update applies the ranks of a service. A removed rank stays until its accepted requests have ended.
func (q *Queue) Update(ranks []patcher.Rank) {
	old := q.ranks
	q.ranks = make([]*rankQueue, 0, len(ranks))
	for _, r := range ranks {
		rq := findRank(old, r.Name)
		if rq == nil {
			rq = &rankQueue{}
		}
		rq.Rank = r
		q.ranks = append(q.ranks, rq)
	}
	for _, r := range old {
		if findRank(q.ranks, r.Name) == nil && (len(r.items) > 0 || r.running > 0) {
			q.ranks = append(q.ranks, r)
		}
	}
	q.running = 0
	for _, r := range q.ranks {
		q.running += r.running
	}
}

// Offer queues a request; it returns OK or the code of the refusal. A request that is late
// on arrival is refused while one waits that can still meet its target.
func (q *Queue) Offer(now time.Time, it Item) classifier.Code {
	r := findRank(q.ranks, it.Rank)
	if r == nil {
		return classifier.UnknownRank
	}
	if code := r.admit(now, it); code != classifier.OK {
		return code
	}
	if it.late(now) && q.anyTimely() {
		return classifier.DeadlineUnreachable
	}
	q.push(now, r, it)
	return classifier.OK
}

// Requeue queues a request again that was accepted before; it is never refused because
// of load. It reports false if the rank is unknown.
func (q *Queue) Requeue(now time.Time, it Item) bool {
	r := findRank(q.ranks, it.Rank)
	if r == nil {
		return false
	}
	q.push(now, r, it)
	return true
}

func (q *Queue) push(now time.Time, r *rankQueue, it Item) {
	if len(r.items) == 0 {
		r.nonEmptySince = now
	}
	w := &waiter{Item: it, rank: r, late: it.late(now)}
	heap.Push(&r.items, w)
	r.bytes += it.Size
	q.waiting[it.ID] = w
}

// Next returns the request to dispatch next without removing it: the first of the
// most urgent rank below its floor, otherwise the first of the most urgent rank.
// Late requests come after all others.
func (q *Queue) Next() (Item, bool) {
	var best *rankQueue
	for _, r := range q.ranks {
		if len(r.items) > 0 && (best == nil || q.precedes(r, best)) {
			best = r
		}
	}
	if best == nil {
		return Item{}, false
	}
	return best.items[0].Item, true
}

func (q *Queue) precedes(a, b *rankQueue) bool {
	if late := a.items[0].late; late != b.items[0].late {
		return !late
	}
	if below := a.belowFloor(q.running); below != b.belowFloor(q.running) {
		return below
	}
	return a.Urgency < b.Urgency
}

// EvictLate moves late requests, which can no longer meet their target, behind the others.
// It removes and returns them while a request waits that can still meet its target.
func (q *Queue) EvictLate(now time.Time) []Item {
	var late []*waiter
	for _, r := range q.ranks {
		for len(r.items) > 0 && !r.items[0].late && r.items[0].Item.late(now) {
			r.items[0].late = true
			heap.Fix(&r.items, 0)
		}
	}
	if !q.anyTimely() {
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

// anyTimely reports whether a request waits that has a target and can still meet it.
func (q *Queue) anyTimely() bool {
	for _, r := range q.ranks {
		if len(r.items) > 0 && !r.items[0].late && !r.items[0].Due.IsZero() {
			return true
		}
	}
	return false
}

// late reports whether a request can no longer meet its target.
func (it Item) late(now time.Time) bool {
	return !it.Due.IsZero() && now.Add(it.Expected).After(it.Due)
}

// Dispatch removes a waiting request that is dispatched now and updates the dispatch
// interval of its rank.
func (q *Queue) Dispatch(now time.Time, id uint64) {
	w, ok := q.waiting[id]
	if !ok {
		return
	}
	w.rank.recordDispatch(now)
	q.Remove(id)
}

// Remove removes a request from the queue; it reports whether it was there.
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

// Items returns the waiting requests, by rank.
func (q *Queue) Items() []Item {
	out := make([]Item, 0, len(q.waiting))
	for _, r := range q.ranks {
		for _, w := range r.items {
			out = append(out, w.Item)
		}
	}
	return out
}

// Started counts an attempt of a rank that holds a slot until Ended.
func (q *Queue) Started(rank string) { q.addRunning(rank, 1) }

// Ended releases the slot of an attempt.
func (q *Queue) Ended(rank string) { q.addRunning(rank, -1) }

func (q *Queue) addRunning(rank string, n int) {
	if r := findRank(q.ranks, rank); r != nil {
		r.running += n
		q.running += n
	}
}

// Waiting returns the number of waiting requests of all ranks.
func (q *Queue) Waiting() int { return len(q.waiting) }

func findRank(ranks []*rankQueue, name string) *rankQueue {
	for _, r := range ranks {
		if r.Name == name {
			return r
		}
	}
	return nil
}
