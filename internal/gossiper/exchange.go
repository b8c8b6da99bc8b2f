package gossiper

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// spreadPeriod is how long a new state of an entry goes into digests first.
const spreadPeriod = 10 * time.Second

// maxFirst bounds the rows of entries with a new state.
const maxFirst = 4

// randomRows is the number of rows left to chance. The newest rows carry the
// evidence of a majority; in trials with 60 entries, a larger share of chance
// left more entries without evidence.
const randomRows = 2

// maxSent bounds the send times that are remembered; an answer to an older message gives no evidence.
const maxSent = 64

// hintRounds is the number of rounds after which one goes to an entry that is silent or only hinted at.
const hintRounds = 4

type sent struct {
	sequence uint32
	at       time.Time
}

// Facts are what a message tells beside the view.
type Facts struct {
	// Next is the offset up to which the sender has folded the configuration.
	Next uint64
	// LogAt is when the log's tail is known to have been read.
	LogAt time.Time
	// Majority is the sender's evidence from peers.
	Majority Majority
}

// Target is where to send a message; Name is empty if it is meant for whoever has the address.
type Target struct {
	Name        string
	Incarnation uint64
	Address     netip.AddrPort
}

// Next chooses the peers to ask: a random one of the third that was heard least
// recently and, every few rounds, one that is silent or only hinted at. A peer
// that left the last message unanswered counts as silent at once, so that a
// partition does not use up the rounds in which evidence has to be renewed.
func (v *View) Next(now time.Time, random *rand.Rand) []Target {
	v.rounds++
	heard, hints := v.candidates(now)
	slices.SortStableFunc(heard, func(a, b *Entry) int { return a.HeardAt.Compare(b.HeardAt) })
	var out []Target
	if len(heard) > 0 {
		e := heard[random.IntN((len(heard)+2)/3)]
		e.AskedAt = now
		out = append(out, Target{Name: e.Name, Incarnation: e.Incarnation, Address: e.PeerAddress})
	}
	if len(hints) > 0 && (len(heard) == 0 || v.rounds%hintRounds == 0) {
		out = append(out, Target{Address: hints[random.IntN(len(hints))]})
	}
	return out
}

func (v *View) candidates(now time.Time) (heard []*Entry, hints []netip.AddrPort) {
	for _, e := range v.entries {
		unanswered := e.HeardAt.Before(e.AskedAt)
		switch {
		case e.Name == v.self || e.State == Stopped:
		case e.Incarnation != 0 && !e.Suspected(now) && !unanswered:
			heard = append(heard, e)
		case e.PeerAddress.IsValid():
			hints = append(hints, e.PeerAddress)
		}
	}
	return heard, append(hints, v.Unresolved()...)
}

// Unresolved returns the seeds at which no entry is known.
func (v *View) Unresolved() []netip.AddrPort {
	var out []netip.AddrPort
	for _, s := range v.seeds {
		if !v.hasAddress(s) {
			out = append(out, s)
		}
	}
	return out
}

func (v *View) hasAddress(a netip.AddrPort) bool {
	return slices.ContainsFunc(v.entries, func(e *Entry) bool { return e.PeerAddress == a })
}

// Compose returns a message; echo is the sequence of the message it answers.
func (v *View) Compose(now time.Time, step Step, to string, echo uint32, f Facts, random *rand.Rand) Exchange {
	v.sequence++
	v.sent = append(v.sent, sent{v.sequence, now})
	if len(v.sent) > maxSent {
		v.sent = slices.Clone(v.sent[1:])
	}
	m := Exchange{
		Step: step, Sequence: v.sequence, Echo: echo, Known: uint16(min(f.Majority.Known, math.MaxUint16)),
		Top: v.top, Next: f.Next, LogAge: encodeAge(now, f.LogAt), MajorityAge: encodeAge(now, f.Majority.At),
		Wanted: v.wanted,
	}
	if e := v.get(to); e != nil {
		m.You = e.State
	}
	m.Rows = []Row{v.row(now, v.get(v.self))}
	if step != Ask {
		m.Rows = v.rows(now, random)
	}
	v.wanted = nil
	return m
}

// Profile returns that of the entry itself, for a peer that may not know it.
func (v *View) Profile() Profile { return profile(v.get(v.self)) }

// Profiles returns the profiles that a peer wants.
func (v *View) Profiles(wanted []uint32) []Profile {
	var out []Profile
	for _, id := range wanted {
		if e := v.byID[id]; e != nil && len(out) < maxProfiles {
			out = append(out, profile(e))
		}
	}
	return out
}

func profile(e *Entry) Profile {
	return Profile{
		Name: e.Name, Incarnation: e.Incarnation, PeerAddress: e.PeerAddress,
		CallerAddress: e.CallerAddress, DataCentre: e.DataCentre,
	}
}

// rows chooses the entry itself, new states, the newest rows, then random ones.
func (v *View) rows(now time.Time, random *rand.Rand) []Row {
	var first, rest []*Entry
	for _, e := range v.entries {
		switch {
		case e.Name == v.self || e.Incarnation == 0:
		case e.State >= Leaving && now.Sub(e.ChangedAt) < spreadPeriod && len(first) < maxFirst:
			first = append(first, e)
		case encodeAge(now, e.HeardAt) != unknownAge:
			rest = append(rest, e)
		}
	}
	chosen := append([]*Entry{v.get(v.self)}, first...)
	newest := min(len(rest), MaxRows-randomRows-len(chosen))
	slices.SortStableFunc(rest, func(a, b *Entry) int { return b.HeardAt.Compare(a.HeardAt) })
	chosen = append(chosen, rest[:newest]...)
	rest = rest[newest:]
	for len(chosen) < MaxRows && len(rest) > 0 {
		i := random.IntN(len(rest))
		chosen = append(chosen, rest[i])
		rest[i] = rest[len(rest)-1]
		rest = rest[:len(rest)-1]
	}
	out := make([]Row, 0, len(chosen))
	for _, e := range chosen {
		out = append(out, v.row(now, e))
	}
	return out
}

func (v *View) row(now time.Time, e *Entry) Row {
	lag := min(v.top-e.Version, unknownLag)
	return Row{ID: e.id(), Age: encodeAge(now, e.HeardAt), State: e.State, Stale: e.Stale, Lag: uint8(lag), InFlight: e.InFlight}
}

// encodeAge rounds up, so that evidence never looks newer than it is.
func encodeAge(now, at time.Time) uint8 {
	if at.IsZero() {
		return unknownAge
	}
	units := (now.Sub(at) + ageUnit - 1) / ageUnit
	return uint8(min(max(units, 0), unknownAge))
}

// SentAt returns when the message with the given sequence was sent, zero if that is no longer known.
func (v *View) SentAt(sequence uint32) time.Time {
	for _, s := range v.sent {
		if s.sequence == sequence {
			return s.at
		}
	}
	return time.Time{}
}

// decodeAge returns when an age began, measured from the send time of the asker.
func decodeAge(base time.Time, age uint8) time.Time {
	if base.IsZero() || age == unknownAge {
		return time.Time{}
	}
	return base.Add(-time.Duration(age) * ageUnit)
}

// LogAt returns when the sender of an answer is known to have read the log's
// tail, zero if the message gives no evidence of it.
func (v *View) LogAt(m Exchange) time.Time { return decodeAge(v.base(m), m.LogAge) }

func (v *View) base(m Exchange) time.Time {
	if m.Step == Ask {
		return time.Time{}
	}
	return v.SentAt(m.Echo)
}

// MajorityAt returns the sender's evidence from peers. It holds for the receiver
// too, who hears of all its members through the sender, if the sender knows at
// least as many entries. A starting entry may not use evidence from before its
// start, in which its earlier incarnation may have had a part.
func (v *View) MajorityAt(m Exchange) Majority {
	self := v.get(v.self)
	at := decodeAge(v.base(m), m.MajorityAge)
	known := v.count()
	if self.State == Starting {
		known = max(known, v.peersKnow)
	}
	if int(m.Known) < known || self.State == Starting && !at.After(self.KnownAt) {
		return Majority{}
	}
	return Majority{At: at, Known: int(m.Known)}
}

// Take merges a message into the view.
func (v *View) Take(now time.Time, m Exchange) {
	base := v.base(m)
	if m.Profile.Name != "" {
		v.learn(now, m.Profile)
	}
	for _, p := range m.Profiles {
		v.learn(now, p)
	}
	v.top = max(v.top, m.Top)
	v.peersKnow = max(v.peersKnow, int(m.Known))
	for _, r := range m.Rows {
		v.takeRow(now, base, m.Top, r)
	}
}

func (v *View) learn(now time.Time, p Profile) {
	have := v.get(p.Name)
	same := have != nil && have.Incarnation == p.Incarnation
	if p.Name == v.self || p.Incarnation == 0 || same || v.Outdated(now, p.Name, p.Incarnation) {
		return
	}
	e := Entry{
		Name: p.Name, Incarnation: p.Incarnation, PeerAddress: p.PeerAddress,
		CallerAddress: p.CallerAddress, DataCentre: p.DataCentre, KnownAt: now, ChangedAt: now,
	}
	if have != nil {
		e.Listed = have.Listed
		e.ListedLeaving = have.ListedLeaving
	}
	v.replace(e)
}

func (v *View) takeRow(now, base time.Time, top uint64, r Row) {
	e, ok := v.byID[r.ID]
	if !ok && len(v.wanted) < maxWanted && !slices.Contains(v.wanted, r.ID) {
		v.wanted = append(v.wanted, r.ID)
	}
	if e == nil || e.Name == v.self {
		return
	}
	v.advance(now, e, r.State)
	heard := decodeAge(base, r.Age)
	if !heard.After(e.HeardAt) {
		return
	}
	e.HeardAt = heard
	if r.Lag != unknownLag && uint64(r.Lag) <= top {
		e.Version = max(e.Version, top-uint64(r.Lag))
	}
	e.Stale = r.Stale
	e.InFlight = r.InFlight
}
