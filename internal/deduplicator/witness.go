package deduplicator

import "time"

// WitnessTable decides which claim has the right to run a key that names this entry as its witness.
type WitnessTable struct {
	name        string
	incarnation uint64
	limits      Limits
	claims      map[string]*claim
	expiries    expiryHeap
	bodies      bodies
	// clock never goes back, since a key that expired must stay expired.
	clock time.Time
}

type claim struct {
	digest uint64
	owner  Holder
	result *Result
}

// NewWitnessTable returns an empty table of the given incarnation of an entry.
func NewWitnessTable(name string, incarnation uint64, l Limits) *WitnessTable {
	l = l.withDefaults()
	return &WitnessTable{
		name: name, incarnation: incarnation, limits: l,
		claims: make(map[string]*claim), bodies: bodies{limit: l.Bytes},
	}
}

// Decide answers an Intent with a Grant or a Denial. A repeated Intent gets the same answer
// as long as the right has not moved on.
func (t *WitnessTable) Decide(now time.Time, m Intent) Reply {
	t.advance(now)
	denial := Denial{Key: m.Key, Sequence: m.Owner.Sequence}
	k, err := ParseKey(m.Key)
	if err != nil || k.Witness != t.name || k.WitnessIncarnation != t.incarnation {
		denial.Reason = Lost
		return denial
	}
	c, ok := t.claims[m.Key]
	if !ok {
		return t.record(k, m, denial)
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

func (t *WitnessTable) record(k Key, m Intent, denial Denial) Reply {
	created := k.Created()
	switch {
	case t.clock.Sub(created) >= Retention, created.Sub(t.clock) > margin:
		denial.Reason = Expired
		return denial
	case m.Barred != Holder{}:
		// The right can only be moved while it is on record, so the record has expired.
		denial.Reason = Expired
		return denial
	case len(t.claims) >= t.limits.Keys:
		denial.Reason = Full
		return denial
	}
	t.claims[m.Key] = &claim{digest: m.BodyDigest, owner: m.Owner}
	t.expiries.add(created.Add(Retention+margin), m.Key)
	return Grant{Key: m.Key, Sequence: m.Owner.Sequence}
}

// Store keeps the result of the claim that has the right; any other copy is dropped.
func (t *WitnessTable) Store(now time.Time, m ResultCopy) {
	t.advance(now)
	c, ok := t.claims[m.Key]
	if !ok || c.owner != m.Owner || c.result != nil {
		return
	}
	c.result = m.Result.clone()
	t.bodies.add(c.result)
}

func (t *WitnessTable) advance(now time.Time) {
	if now.After(t.clock) {
		t.clock = now
	}
	for {
		key, ok := t.expiries.due(t.clock)
		if !ok {
			return
		}
		t.bodies.drop(t.claims[key].result)
		delete(t.claims, key)
	}
}
