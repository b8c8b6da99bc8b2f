package deduplicator

import (
	"container/heap"
	"time"
)

// Retention is the age up to which a witness grants a key.
const Retention = 10 * time.Minute

// margin is how much longer than Retention a key is remembered, and how far a
// key's creation time may lie ahead of the witness's clock.
const margin = time.Minute

// MaxBody is the size in bytes up to which the body of an answer is stored.
const MaxBody = 16 << 10

// Limits bounds a table; the zero value of a field selects its default.
type Limits struct {
	// Keys is the number of keys that are remembered at once.
	Keys int
	// Bytes is the total size of the stored answers.
	Bytes int
}

// With 98,304 keys remembered for 11 minutes, an entry takes 148 keys a second in
// each role; 28 entries at the target size need 107. The tables are state of
// requests and not bound by the 32 MB of a node for control.
const (
	// DefaultKeys is the number of keys that a table holds unless Limits says otherwise.
	DefaultKeys = 3 << 15
	// DefaultBytes is the total size of the stored answers unless Limits says otherwise, in bytes.
	DefaultBytes = 4 << 20
)

func (l Limits) withDefaults() Limits {
	if l.Keys == 0 {
		l.Keys = DefaultKeys
	}
	if l.Bytes == 0 {
		l.Bytes = DefaultBytes
	}
	return l
}

// expiry is the time at which a key is forgotten.
type expiry struct {
	at  time.Time
	key string
}

type expiryHeap []expiry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *expiryHeap) Push(x any)        { *h = append(*h, x.(expiry)) }
func (h *expiryHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

func (h *expiryHeap) add(at time.Time, key string) { heap.Push(h, expiry{at, key}) }

// due removes and returns a key whose time has come.
func (h *expiryHeap) due(now time.Time) (string, bool) {
	if len(*h) == 0 || now.Before((*h)[0].at) {
		return "", false
	}
	return heap.Pop(h).(expiry).key, true
}

// bodies bounds the total size of stored answers by dropping the oldest bodies.
type bodies struct {
	limit int
	used  int
	queue []*Result
}

func (b *bodies) add(r *Result) {
	if len(r.Body) > MaxBody {
		r.Kept = false
	}
	if !r.Kept {
		r.Body = nil
		return
	}
	b.used += len(r.Body)
	b.queue = append(b.queue, r)
	for len(b.queue) > 0 && (b.used > b.limit || !b.queue[0].Kept) {
		b.drop(b.queue[0])
		b.queue = b.queue[1:]
	}
}

func (b *bodies) drop(r *Result) {
	if r != nil && r.Kept {
		b.used -= len(r.Body)
		r.Kept = false
		r.Body = nil
	}
}

// clone returns a copy that stays as it is when the body is dropped later.
func (r *Result) clone() *Result {
	if r == nil {
		return nil
	}
	c := *r
	return &c
}
