package deduplicator

import (
	"container/heap"
	"time"
)

// Retention is the maximum age at which a witness grants a key.
const Retention = 10 * time.Minute

// clockMargin is added to Retention for the expiry of a record. It is also the
// maximum time by which a key's creation time may be ahead of the witness's clock.
const clockMargin = time.Minute

// MaxBody is the maximum size in bytes of a response body that is stored.
const MaxBody = 16 << 10

// Limits holds the limits of a table. The zero value of a field selects its default.
type Limits struct {
	// Keys is the maximum number of keys.
	Keys int
	// Bytes is the maximum total size of the stored response bodies.
	Bytes int
}

// With 98,304 keys that are stored for 11 minutes, an entry handles 148 keys per
// second as owner and as witness; 28 entries at the target size need 107. The tables
// are request state and do not count towards the 32 MB that a node has for control.
const (
	// DefaultKeys is the default maximum number of keys in a table.
	DefaultKeys = 3 << 15
	// DefaultBytes is the default maximum total size of the stored response bodies.
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

// expiry is the time at which the record of a key expires.
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

// popExpired removes and returns a key that has expired.
func (h *expiryHeap) popExpired(now time.Time) (string, bool) {
	if len(*h) == 0 || now.Before((*h)[0].at) {
		return "", false
	}
	return heap.Pop(h).(expiry).key, true
}

// bodyStore limits the total size of stored response bodies. It evicts the oldest
// bodies first.
type bodyStore struct {
	limit int
	used  int
	// queue contains the results whose body was stored, oldest first. A result whose body
	// was evicted stays in it until it is the first.
	queue []*Result
}

// add counts the body of a result towards the limit and evicts the oldest bodies beyond
// it. A body longer than MaxBody is dropped.
func (b *bodyStore) add(r *Result) {
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
		b.evict(b.queue[0])
		b.queue = b.queue[1:]
	}
}

func (b *bodyStore) evict(r *Result) {
	if r != nil && r.Kept {
		b.used -= len(r.Body)
		r.Kept = false
		r.Body = nil
	}
}

// clone returns a copy that keeps its body when the body of r is evicted.
func (r *Result) clone() *Result {
	if r == nil {
		return nil
	}
	c := *r
	return &c
}
