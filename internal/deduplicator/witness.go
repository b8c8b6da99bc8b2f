package deduplicator

import "time"

// WitnessTable decides which claim owns a key, for the keys that name this entry as
// their witness.
type WitnessTable struct {
	name        string
	incarnation uint64
	limits      Limits
	claims      map[string]*claim
	expiries    expiryHeap
	bodies      bodyStore
	// clock never goes back, because an expired key must stay expired.
	clock time.Time
}

// claim records which claim owns a key, and the result that the owner has reported.
type claim struct {
	digest uint64
	owner  Holder
	result *Result
}

// NewWitnessTable returns an empty table for the given incarnation of an entry.
func NewWitnessTable(name string, incarnation uint64, l Limits) *WitnessTable {
	l = l.withDefaults()
	return &WitnessTable{
		name: name, incarnation: incarnation, limits: l,
		claims: make(map[string]*claim), bodies: bodyStore{limit: l.Bytes},
	}
}

// Decide answers an Intent with a Grant or a Denial. A repeated Intent gets the same
// reply until ownership is transferred or the result is stored.
func (t *WitnessTable) Decide(now time.Time, m Intent) Reply {
	t.advance(now)
	denial := Denial{Key: m.Key, Sequence: m.Owner.Sequence}
	k, err := ParseKey(m.Key)
	if err != nil || k.Witness != t.name || k.WitnessIncarnation != t.incarnation {
		denial.Reason = WitnessLost
		return denial
	}
	c, ok := t.claims[m.Key]
	if !ok {
		return t.recordClaim(k, m, denial)
	}
	if c.digest != m.BodyDigest {
		denial.Reason = Reused
		return denial
	}
	if c.owner == m.Barred && c.result == nil {
		c.owner = m.Owner
	}
	if c.owner == m.Owner && c.result == nil {
		return Grant{Key: m.Key, Sequence: m.Owner.Sequence}
	}
	denial.Reason = Owned
	denial.Owner = c.owner
	denial.Result = c.result.clone()
	return denial
}

// recordClaim decides on an Intent for a key that is not on record. It records the claim
// unless it denies the Intent.
func (t *WitnessTable) recordClaim(k Key, m Intent, denial Denial) Reply {
	created := k.Created()
	switch {
	case t.clock.Sub(created) >= Retention, created.Sub(t.clock) > clockMargin:
		denial.Reason = Expired
		return denial
	case m.Barred != Holder{}:
		// Ownership can only be transferred while the key is on record, so the record
		// has expired.
		denial.Reason = Expired
		return denial
	case len(t.claims) >= t.limits.Keys:
		denial.Reason = WitnessFull
		return denial
	}
	t.claims[m.Key] = &claim{digest: m.BodyDigest, owner: m.Owner}
	t.expiries.add(created.Add(Retention+clockMargin), m.Key)
	return Grant{Key: m.Key, Sequence: m.Owner.Sequence}
}

// StoreResult keeps the result of the claim that owns the key. It ignores results of
// other claims.
func (t *WitnessTable) StoreResult(now time.Time, m ResultCopy) {
	t.advance(now)
	c, ok := t.claims[m.Key]
	if !ok || c.owner != m.Owner || c.result != nil {
		return
	}
	c.result = m.Result.clone()
	t.bodies.add(c.result)
}

// advance moves the clock forward and deletes the keys that have expired.
func (t *WitnessTable) advance(now time.Time) {
	if now.After(t.clock) {
		t.clock = now
	}
	for {
		key, ok := t.expiries.popExpired(t.clock)
		if !ok {
			return
		}
		t.bodies.evict(t.claims[key].result)
		delete(t.claims, key)
	}
}
