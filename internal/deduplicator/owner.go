package deduplicator

import (
	"time"

	"github.com/azuretrestle/azuretrestle/pkg/classifier"
)

// OwnerTable holds the claims of this entry on keys of requests that it took.
type OwnerTable struct {
	limits   Limits
	records  map[string]*Record
	expiries expiryHeap
	bodies   bodies
	sequence uint64
}

// Record is what an entry knows of a key that it asked the right for. All
// claims from first up to but not including sequence are barred.
type Record struct {
	table    *OwnerTable
	digest   uint64
	first    uint64
	sequence uint64
	granted  bool
	// dispatched is set while an attempt may be running.
	dispatched bool
	// held counts the requests that use the record; it is not forgotten before.
	held   int
	result *Result
}

// NewOwnerTable returns an empty table.
func NewOwnerTable(l Limits) *OwnerTable {
	l = l.withDefaults()
	return &OwnerTable{limits: l, records: make(map[string]*Record), bodies: bodies{limit: l.Bytes}}
}

// Open returns the record of a key and whether it is new. The code is OK,
// KeyReused if the body differs, or QueueFull if the table is full.
func (t *OwnerTable) Open(now time.Time, key string, digest uint64) (*Record, bool, classifier.Code) {
	t.expire(now)
	if r, ok := t.records[key]; ok {
		if r.digest != digest {
			return nil, false, classifier.KeyReused
		}
		return r, false, classifier.OK
	}
	if len(t.records) >= t.limits.Keys {
		return nil, false, classifier.QueueFull
	}
	s := t.next()
	r := &Record{table: t, digest: digest, first: s, sequence: s}
	t.records[key] = r
	t.expiries.add(now.Add(Retention+margin), key)
	return r, true, classifier.OK
}

// Fence answers a Fence and bars the claim that it names, unless that claim was dispatched.
func (t *OwnerTable) Fence(m Fence) FenceAnswer {
	answer := FenceAnswer{Key: m.Key, Owner: m.Owner}
	r, ok := t.records[m.Key]
	if !ok || m.Owner.Sequence < r.first {
		return answer
	}
	switch {
	case m.Owner.Sequence < r.sequence:
		answer.State = Barred
	case r.result != nil:
		answer.State = Finished
		answer.Result = r.result.clone()
	case r.dispatched:
		answer.State = InProgress
	default:
		r.bar()
		answer.State = Barred
	}
	return answer
}

func (r *Record) bar() {
	r.sequence = r.table.next()
	r.granted = false
}

func (t *OwnerTable) next() uint64 {
	t.sequence++
	return t.sequence
}

func (t *OwnerTable) expire(now time.Time) {
	for {
		key, ok := t.expiries.due(now)
		if !ok {
			return
		}
		r := t.records[key]
		if r.held > 0 {
			t.expiries.add(now.Add(margin), key)
			continue
		}
		t.bodies.drop(r.result)
		delete(t.records, key)
	}
}

// Hold keeps the record until a matching Release.
func (r *Record) Hold() { r.held++ }

// Release ends a Hold.
func (r *Record) Release() { r.held-- }

// Digest returns the hash of the body that came with the key.
func (r *Record) Digest() uint64 { return r.digest }

// Sequence returns the current claim.
func (r *Record) Sequence() uint64 { return r.sequence }

// Grant takes the right for a claim; it reports false if the claim is not the current one.
func (r *Record) Grant(sequence uint64) bool {
	if sequence != r.sequence || r.result != nil {
		return false
	}
	r.granted = true
	return true
}

// Granted reports whether the current claim has the right and no result yet.
func (r *Record) Granted() bool { return r.granted && r.result == nil }

// Dispatched reports whether an attempt may be running.
func (r *Record) Dispatched() bool { return r.dispatched }

// Dispatch begins an attempt; it reports false if the claim has no right to, or one is running.
func (r *Record) Dispatch() bool {
	if !r.Granted() || r.dispatched {
		return false
	}
	r.dispatched = true
	return true
}

// NotRun ends an attempt that certainly did not run; the claim keeps its right.
func (r *Record) NotRun() { r.dispatched = false }

// Finish stores the final result.
func (r *Record) Finish(result Result) {
	r.dispatched = false
	r.result = &result
	r.table.bodies.add(r.result)
}

// Result returns the final result if there is one.
func (r *Record) Result() (Result, bool) {
	if r.result == nil {
		return Result{}, false
	}
	return *r.result, true
}
