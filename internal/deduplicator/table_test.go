package deduplicator_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azuretrestle/azuretrestle/internal/deduplicator"
	"github.com/azuretrestle/azuretrestle/pkg/classifier"
)

const (
	keyID = "01890a5d-ac96-774b-bcce-b302099a8057"
	// keyText has the creation time 1688349715606 ms.
	keyText = keyID + "@e2.17"
)

var created = time.UnixMilli(0x01890a5dac96)

// TestParseKey guards against accepting two forms of one key, which the witness
// would treat as two keys, and against keys without a witness or a creation time.
func TestParseKey(t *testing.T) {
	for text, valid := range map[string]bool{
		keyText:                                  true,
		keyID + "@a.b-c_d.1":                     true,
		keyID + "@e2.18446744073709551615":       true,
		keyID + "@e2.18446744073709551616":       false,
		"":                                       false,
		keyID:                                    false,
		keyID + "@e2":                            false,
		keyID + "@.17":                           false,
		keyID + "@e2.":                           false,
		keyID + "@e2.017":                        false,
		keyID + "@e2.+17":                        false,
		keyID + "@e2.17 ":                        false,
		keyID + "@e 2.17":                        false,
		keyID + "@e2@e3.17":                      false,
		strings.ToUpper(keyID) + "@e2.17":        false,
		"{" + keyID + "}@e2.17":                  false,
		"urn:uuid:" + keyID + "@e2.17":           false,
		strings.Repeat("x", 36) + "@e2.17":       false,
		strings.ReplaceAll(keyText, "-", ""):     false,
		keyID[:14] + "4" + keyID[15:] + "@e2.17": false,
		keyID + "@" + strings.Repeat("n", 64) + ".17":    false,
		"01890a5d-ac96-774b-1cce-b302099a8057@e2.17":     false,
		"01890a5d-ac96-774b-bcce-b302099a8057@e2.17\x00": false,
	} {
		t.Run(text, func(t *testing.T) {
			is := is.New(t)
			k, err := deduplicator.ParseKey(text)
			is.Equal(err == nil, valid)
			if valid {
				is.Equal(k.String(), text)
				is.True(k.Created().Equal(created))
			}
		})
	}
}

func holder(name string, sequence uint64) deduplicator.Holder {
	return deduplicator.Holder{Name: name, Incarnation: 1, Sequence: sequence}
}

func intent(owner, barred deduplicator.Holder) deduplicator.Intent {
	return deduplicator.Intent{Key: keyText, BodyDigest: 5, Owner: owner, Barred: barred}
}

// TestWitnessDecide guards against a key that is granted to two claims, in any order in which
// their intents arrive.
func TestWitnessDecide(t *testing.T) {
	a, a2, b, c := holder("a", 1), holder("a", 2), holder("b", 1), holder("c", 1)
	none := deduplicator.Holder{}
	otherBody := intent(a, none)
	otherBody.BodyDigest = 6
	otherWitness := intent(a, none)
	otherWitness.Key = keyID + "@e2.18"
	denied := func(r deduplicator.Reason, owner deduplicator.Holder) deduplicator.Denial {
		return deduplicator.Denial{Key: keyText, Sequence: 1, Reason: r, Owner: owner}
	}
	grant := deduplicator.Grant{Key: keyText, Sequence: 1}
	for name, tt := range map[string]struct {
		before []deduplicator.Intent
		intent deduplicator.Intent
		age    time.Duration
		want   deduplicator.Reply
	}{
		"new key":                        {nil, intent(a, none), 0, grant},
		"repeated":                       {[]deduplicator.Intent{intent(a, none)}, intent(a, none), 0, grant},
		"other entry":                    {[]deduplicator.Intent{intent(a, none)}, intent(b, none), 0, denied(deduplicator.Owned, a)},
		"later claim":                    {[]deduplicator.Intent{intent(a2, none)}, intent(a, none), 0, denied(deduplicator.Owned, a2)},
		"transferred":                    {[]deduplicator.Intent{intent(a, none)}, intent(b, a), 0, grant},
		"transferred from another claim": {[]deduplicator.Intent{intent(a, none)}, intent(b, c), 0, denied(deduplicator.Owned, a)},
		"delayed first claim":            {[]deduplicator.Intent{intent(a, none), intent(b, a)}, intent(a, none), 0, denied(deduplicator.Owned, b)},
		"delayed transfer":               {[]deduplicator.Intent{intent(a, none), intent(b, a), intent(c, b)}, intent(b, a), 0, denied(deduplicator.Owned, c)},
		"transferred without a record":   {nil, intent(b, a), 0, denied(deduplicator.Expired, none)},
		"other body":                     {[]deduplicator.Intent{intent(a, none)}, otherBody, 0, denied(deduplicator.Reused, none)},
		"just before expiry":             {nil, intent(a, none), deduplicator.Retention - 1, grant},
		"expired":                        {nil, intent(a, none), deduplicator.Retention, denied(deduplicator.Expired, none)},
		"expired but on record":          {[]deduplicator.Intent{intent(a, none)}, intent(b, none), deduplicator.Retention, denied(deduplicator.Owned, a)},
		"record expired":                 {[]deduplicator.Intent{intent(a, none)}, intent(b, none), 2 * deduplicator.Retention, denied(deduplicator.Expired, none)},
		"created in the future":          {nil, intent(a, none), -2 * time.Minute, denied(deduplicator.Expired, none)},
		"other incarnation": {
			nil, otherWitness, 0,
			deduplicator.Denial{Key: otherWitness.Key, Sequence: 1, Reason: deduplicator.WitnessLost},
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := deduplicator.NewWitnessTable("e2", 17, deduplicator.Limits{})
			for _, m := range tt.before {
				w.Decide(created, m)
			}
			is.Equal(w.Decide(created.Add(tt.age), tt.intent), tt.want)
		})
	}
}

// TestWitnessClockGoesBack guards against a second grant of a key if the clock of the
// host is set back after the record expired.
func TestWitnessClockGoesBack(t *testing.T) {
	is := is.New(t)
	w := deduplicator.NewWitnessTable("e2", 17, deduplicator.Limits{})
	w.Decide(created, intent(holder("a", 1), deduplicator.Holder{}))
	w.StoreResult(created.Add(time.Hour), deduplicator.ResultCopy{})
	d, ok := w.Decide(created, intent(holder("b", 1), deduplicator.Holder{})).(deduplicator.Denial)
	is.True(ok)
	is.Equal(d.Reason, deduplicator.Expired)
}

// TestWitnessFull guards against unbounded memory, and against evicting a key that
// has not expired when the table is full.
func TestWitnessFull(t *testing.T) {
	is := is.New(t)
	w := deduplicator.NewWitnessTable("e2", 17, deduplicator.Limits{Keys: 1})
	a := holder("a", 1)
	other := intent(holder("b", 1), deduplicator.Holder{})
	other.Key = "01890a5d-ac96-774b-bcce-b302099a8058@e2.17"
	w.Decide(created, intent(a, deduplicator.Holder{}))
	is.Equal(w.Decide(created, other), deduplicator.Denial{Key: other.Key, Sequence: 1, Reason: deduplicator.WitnessFull})
	is.Equal(w.Decide(created, intent(a, deduplicator.Holder{})), deduplicator.Grant{Key: keyText, Sequence: 1})
}

// TestStoredResults guards against storing the result of a claim that does not own
// the key, and against stored bodies beyond their limits. If a body exceeds a limit,
// only the body may be evicted, not the result.
func TestStoredResults(t *testing.T) {
	done := func(size int) deduplicator.Result {
		return deduplicator.Result{Outcome: classifier.OutcomeDone, Status: 200, Kept: true, Body: make([]byte, size)}
	}
	for name, tt := range map[string]struct {
		owner  deduplicator.Holder
		size   int
		stored bool
		kept   bool
	}{
		"empty":               {holder("a", 1), 0, true, true},
		"largest":             {holder("a", 1), deduplicator.MaxBody, true, true},
		"too large":           {holder("a", 1), deduplicator.MaxBody + 1, true, false},
		"other claim":         {holder("a", 2), 1, false, false},
		"over the byte limit": {holder("a", 1), 101, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			limits := deduplicator.Limits{}
			if name == "over the byte limit" {
				limits.Bytes = 100
			}
			w := deduplicator.NewWitnessTable("e2", 17, limits)
			w.Decide(created, intent(holder("a", 1), deduplicator.Holder{}))
			w.StoreResult(created, deduplicator.ResultCopy{Key: keyText, Owner: tt.owner, Result: done(tt.size)})
			d := w.Decide(created, intent(holder("b", 1), deduplicator.Holder{})).(deduplicator.Denial)
			is.Equal(d.Result != nil, tt.stored)
			if tt.stored {
				is.Equal(d.Result.Kept, tt.kept)
				is.Equal(len(d.Result.Body) > 0, tt.kept && tt.size > 0)
			}
		})
	}
}

// TestFence guards against a dispatch after the owner reported the claim as barred.
func TestFence(t *testing.T) {
	fence := func(s uint64) deduplicator.Fence {
		return deduplicator.Fence{Key: keyText, Owner: holder("a", s)}
	}
	for name, tt := range map[string]struct {
		prepare     func(*deduplicator.Record)
		sequence    uint64
		want        deduplicator.State
		mayDispatch bool
	}{
		"not granted":             {func(*deduplicator.Record) {}, 1, deduplicator.Barred, false},
		"granted":                 {func(r *deduplicator.Record) { r.Grant(1) }, 1, deduplicator.Barred, false},
		"dispatched":              {func(r *deduplicator.Record) { r.Grant(1); r.Dispatch() }, 1, deduplicator.InProgress, false},
		"not run":                 {func(r *deduplicator.Record) { r.Grant(1); r.Dispatch(); r.NotRun() }, 1, deduplicator.Barred, false},
		"finished":                {func(r *deduplicator.Record) { r.Finish(deduplicator.Result{}) }, 1, deduplicator.Finished, false},
		"claim before the record": {func(r *deduplicator.Record) { r.Grant(1) }, 0, deduplicator.NoRecord, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := deduplicator.NewOwnerTable(deduplicator.Limits{})
			r, isNew, code := table.Open(created, keyText, 5)
			is.True(isNew)
			is.Equal(code, classifier.OK)
			tt.prepare(r)
			is.Equal(table.Fence(fence(tt.sequence)).State, tt.want)
			r.Grant(1)
			is.Equal(r.Dispatch(), tt.mayDispatch)
			if tt.want == deduplicator.Barred {
				is.Equal(table.Fence(fence(tt.sequence)).State, deduplicator.Barred)
			}
		})
	}
}

// TestExpiredRecord guards against an owner that reports the claim of an expired
// record as barred, and against the expiry of a record that is in use.
func TestExpiredRecord(t *testing.T) {
	is := is.New(t)
	table := deduplicator.NewOwnerTable(deduplicator.Limits{Keys: 1})
	old, _, _ := table.Open(created, keyText, 5)
	old.Hold()
	_, _, code := table.Open(created, "other", 5)
	is.Equal(code, classifier.QueueFull)
	_, _, code = table.Open(created, keyText, 6)
	is.Equal(code, classifier.KeyReused)
	later := created.Add(2 * deduplicator.Retention)
	r, isNew, _ := table.Open(later, keyText, 5)
	is.True(!isNew)
	is.Equal(r, old)
	old.Release()
	r, isNew, _ = table.Open(later.Add(deduplicator.Retention), keyText, 5)
	is.True(isNew)
	fence := deduplicator.Fence{Key: keyText, Owner: holder("a", old.Sequence())}
	is.Equal(table.Fence(fence).State, deduplicator.NoRecord)
	is.True(r.Sequence() > old.Sequence())
}
