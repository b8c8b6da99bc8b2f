package deduplicator

import (
	"time"

	"github.com/azuretrestle/azuretrestle/pkg/classifier"
)

// OwnerTable holds the claims of this entry on the keys of requests that it accepted.
type OwnerTable struct {
	limits   Limits
	records  map[string]*Record
	expiries expiryHeap
	bodies   bodyStore
	sequence uint64
}

// Record is the state of a key of which an entry has requested ownership. All claims
// from firstSequence up to but not including sequence are barred.
type Record struct {
	table         *OwnerTable
	digest        uint64
	firstSequence uint64
	sequence      uint64
	granted       bool
	// dispatched is set while an attempt may be in flight.
	dispatched bool
	// holds counts the requests that use the record. The record does not expire
	// while holds is above 0.
	holds  int
	result *Result
}

// NewOwnerTable returns an empty table.
func NewOwnerTable(l Limits) *OwnerTable {
	l = l.withDefaults()
	return &OwnerTable{limits: l, records: make(map[string]*Record), bodies: bodyStore{limit: l.Bytes}}
}

// Open returns the record of a key and reports whether it is new. The code is OK,
// KeyReused if the body differs from the recorded one, or QueueFull if the table is
// full.
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
	s := t.nextSequence()
	r := &Record{table: t, digest: digest, firstSequence: s, sequence: s}
	t.records[key] = r
	t.expiries.add(now.Add(Retention+clockMargin), key)
	return r, true, classifier.OK
}

// Fence handles a Fence message. It bars the claim in the message unless an attempt
// was dispatched under it.
func (t *OwnerTable) Fence(m Fence) FenceAnswer {
	answer := FenceAnswer{Key: m.Key, Owner: m.Owner}
	r, ok := t.records[m.Key]
	if !ok || m.Owner.Sequence < r.firstSequence {
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

// bar replaces the current claim by a new one that is not granted, so that no attempt is
// dispatched under the old one.
func (r *Record) bar() {
	r.sequence = r.table.nextSequence()
	r.granted = false
}

func (t *OwnerTable) nextSequence() uint64 {
	t.sequence++
	return t.sequence
}

func (t *OwnerTable) expire(now time.Time) {
	for {
		key, ok := t.expiries.popExpired(now)
		if !ok {
			return
		}
		r := t.records[key]
		if r.holds > 0 {
			t.expiries.add(now.Add(clockMargin), key)
			continue
		}
		t.bodies.evict(r.result)
		delete(t.records, key)
	}
}

// Hold prevents the record from expiring until a matching Release.
func (r *Record) Hold() { r.holds++ }

// Release undoes one call of Hold.
func (r *Record) Release() { r.holds-- }

// Digest returns the hash of the request body.
func (r *Record) Digest() uint64 { return r.digest }

// Sequence returns the sequence of the current claim.
func (r *Record) Sequence() uint64 { return r.sequence }

// Grant records that a claim was granted. It reports false if the claim is not the
// current one or the key has a result.
func (r *Record) Grant(sequence uint64) bool {
	if sequence != r.sequence || r.result != nil {
		return false
	}
	r.granted = true
	return true
}

// Granted reports whether the current claim is granted and has no result yet.
func (r *Record) Granted() bool { return r.granted && r.result == nil }

// Dispatched reports whether an attempt may be in flight.
func (r *Record) Dispatched() bool { return r.dispatched }

// Dispatch marks the start of an attempt. It reports false if the claim is not
// granted or an attempt is in flight.
func (r *Record) Dispatch() bool {
	if !r.Granted() || r.dispatched {
		return false
	}
	r.dispatched = true
	return true
}

// NotRun ends an attempt that was certainly not executed. The claim stays granted.
func (r *Record) NotRun() { r.dispatched = false }

// Finish ends the attempt, if there is one, and stores the final result.
func (r *Record) Finish(result Result) {
	r.dispatched = false
	r.result = &result
	r.table.bodies.add(r.result)
}

// Result returns the final result, if there is one.
func (r *Record) Result() (Result, bool) {
	if r.result == nil {
		return Result{}, false
	}
	return *r.result, true
}
