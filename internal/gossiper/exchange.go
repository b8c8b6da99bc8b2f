package gossiper

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// priorityPeriod is how long the row of an entry has priority in digests after the entry
// began to leave or stopped.
const priorityPeriod = 10 * time.Second

// maxPriorityRows bounds the rows of a digest that have priority because of priorityPeriod.
const maxPriorityRows = 4

// randomRows is the number of rows chosen at random. The newest rows carry the
// evidence from a majority; in trials with 60 entries, a larger share of random rows
// left more entries without evidence.
const randomRows = 2

// Where nobody uses the evidence, a digest has up to maxSpreadRows rows. Until spreadPeriod
// after the entry learned of another one, a third of them are random ones, also of entries
// that were not heard from lately, so that all entries soon know each other.
const (
	maxSpreadRows = 48
	spreadPeriod  = 15 * time.Second
)

// maxSent bounds the messages whose send time is kept; a reply to an older one gives no evidence.
const maxSent = 64

// hintInterval is the interval, in rounds, between messages that are sent to hints. A hint
// is the address of an entry that is silent or known only from the seeds or the host list.
const hintInterval = 4

type sentMessage struct {
	sequence uint32
	at       time.Time
}

// Facts are the contents of a message that are not taken from the view.
type Facts struct {
	// Next is the offset up to which the sender has applied the configuration log.
	Next uint64
	// LogAt is the latest time at which the tail of the log is known to have been read.
	LogAt time.Time
	// Majority is the sender's evidence from a majority.
	Majority Majority
}

// Target is the recipient of a message; Name is empty if only the address is known.
type Target struct {
	Name        string
	Incarnation uint64
	Address     netip.AddrPort
}

// NextTargets chooses the peers to ask: a random one of the third that was heard from
// least recently and, every hintInterval rounds or if there is no such peer, a hint. A
// peer that left the last message unanswered counts as silent at once, so that a
// partition does not use up the rounds in which evidence has to be renewed. Where nobody
// uses the evidence, a peer that was never asked may be chosen too: with many entries,
// those heard from lately would otherwise ask only each other.
func (v *View) NextTargets(now time.Time, random *rand.Rand) []Target {
	v.rounds++
	heard, hints := v.candidates(now)
	slices.SortStableFunc(heard, func(a, b *Entry) int { return a.HeardAt.Compare(b.HeardAt) })
	var out []Target
	if len(heard) > 0 {
		e := heard[random.IntN((len(heard)+2)/3)]
		e.AskedAt = now
		out = append(out, Target{Name: e.Name, Incarnation: e.Incarnation, Address: e.PeerAddress})
	}
	if len(hints) > 0 && (len(heard) == 0 || v.rounds%hintInterval == 0) {
		out = append(out, Target{Address: hints[random.IntN(len(hints))]})
	}
	return out
}

// candidates returns the entries that may be asked, and the hints.
func (v *View) candidates(now time.Time) (heard []*Entry, hints []netip.AddrPort) {
	for _, e := range v.entries {
		unanswered := e.HeardAt.Before(e.AskedAt)
		switch {
		case e.Name == v.self || e.State == Stopped:
		case e.Incarnation != 0 && (v.evidenceUnused || !v.Suspected(now, *e)) && !unanswered:
			heard = append(heard, e)
		case e.PeerAddress.IsValid():
			hints = append(hints, e.PeerAddress)
		}
	}
	return heard, append(hints, v.UnresolvedSeeds()...)
}

// UnresolvedSeeds returns the seeds whose address belongs to no known entry.
func (v *View) UnresolvedSeeds() []netip.AddrPort {
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

// Compose returns a message to an entry; echo is the sequence of the message that it
// answers. The name to is empty if only the address of the entry is known.
func (v *View) Compose(now time.Time, step Step, to string, echo uint32, f Facts, random *rand.Rand) Exchange {
	v.sequence++
	v.sent = append(v.sent, sentMessage{v.sequence, now})
	if len(v.sent) > maxSent {
		v.sent = slices.Clone(v.sent[1:])
	}
	m := Exchange{
		Step: step, Sequence: v.sequence, Echo: echo, Known: uint16(min(f.Majority.Known, math.MaxUint16)),
		Top: v.newestVersion, Next: f.Next, LogAge: encodeAge(now, f.LogAt), MajorityAge: encodeAge(now, f.Majority.At),
	}
	if e := v.get(to); e != nil {
		m.You = e.State
	}
	m.Rows = []Row{v.row(now, v.get(v.self))}
	if step != Ask {
		m.Rows = v.rows(now, random)
	}
	if step != Close || v.evidenceUnused {
		// With evidence, a Close is not answered, so profiles are requested in the next message that is.
		m.Wanted, v.wanted = v.wanted, nil
	}
	return m
}

// ComposeProfiles returns a message with the profiles that a peer requested in a Close, and
// a request for those of which this entry received only rows.
func (v *View) ComposeProfiles(wanted []uint32) Exchange {
	m := Exchange{Step: Close, Profiles: v.Profiles(wanted), LogAge: unknownAge, MajorityAge: unknownAge}
	m.Wanted, v.wanted = v.wanted, nil
	return m
}

// Profile returns the profile of the entry itself, for a peer that may not know it.
func (v *View) Profile() Profile { return profile(v.get(v.self)) }

// Profiles returns the profiles that a peer requested, at most as many as a digest has rows.
func (v *View) Profiles(wanted []uint32) []Profile {
	var out []Profile
	for _, id := range wanted {
		if e := v.byID[id]; e != nil && len(out) < v.maxRows() {
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

// rows returns the rows of a digest: the entry itself, entries that began to leave or
// stopped within priorityPeriod, the entries heard from most recently, then random ones.
func (v *View) rows(now time.Time, random *rand.Rand) []Row {
	spreading := v.spreading(now)
	var priority, rest []*Entry
	for _, e := range v.entries {
		switch {
		case e.Name == v.self || e.Incarnation == 0:
		case e.State >= Leaving && now.Sub(e.ChangedAt) < priorityPeriod && len(priority) < maxPriorityRows:
			priority = append(priority, e)
		case encodeAge(now, e.HeardAt) != unknownAge || spreading && !e.silentFor(now, PresencePeriod):
			rest = append(rest, e)
		}
	}
	chosen := append([]*Entry{v.get(v.self)}, priority...)
	newest := min(len(rest), max(v.maxRows()-v.randomRows(now)-len(chosen), 0))
	slices.SortStableFunc(rest, func(a, b *Entry) int { return b.HeardAt.Compare(a.HeardAt) })
	chosen = append(chosen, rest[:newest]...)
	rest = rest[newest:]
	for len(chosen) < v.maxRows() && len(rest) > 0 {
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

// maxRows returns the maximum number of rows of a digest.
func (v *View) maxRows() int {
	if !v.evidenceUnused {
		return MaxRows
	}
	return min(max(len(v.entries), MaxRows), maxSpreadRows)
}

// spreading reports whether entries may not know each other yet.
func (v *View) spreading(now time.Time) bool {
	return v.evidenceUnused && now.Sub(v.learnedAt) < spreadPeriod
}

// randomRows returns the number of random rows of a digest.
func (v *View) randomRows(now time.Time) int {
	if v.spreading(now) {
		return v.maxRows() / 3
	}
	return randomRows
}

func (v *View) row(now time.Time, e *Entry) Row {
	lag := min(v.newestVersion-e.Version, unknownLag)
	return Row{ID: e.id(), Age: encodeAge(now, e.HeardAt), State: e.State, Stale: e.Stale, Lag: uint8(lag), InFlight: e.InFlight}
}

// encodeAge encodes an age in units of ageUnit, rounded up, so that evidence never
// appears newer than it is.
func encodeAge(now, at time.Time) uint8 {
	if at.IsZero() {
		return unknownAge
	}
	units := (now.Sub(at) + ageUnit - 1) / ageUnit
	return uint8(min(max(units, 0), unknownAge))
}

// SentAt returns when the message with the given sequence was sent, zero if it is no longer known.
func (v *View) SentAt(sequence uint32) time.Time {
	for _, s := range v.sent {
		if s.sequence == sequence {
			return s.at
		}
	}
	return time.Time{}
}

// decodeAge returns the time that lies an encoded age before base, the send time of
// the message that was answered; zero if either is unknown.
func decodeAge(base time.Time, age uint8) time.Time {
	if base.IsZero() || age == unknownAge {
		return time.Time{}
	}
	return base.Add(-time.Duration(age) * ageUnit)
}

// LogAt returns when the sender of a reply is known to have read the tail of the
// log, zero if the message gives no evidence of it.
func (v *View) LogAt(m Exchange) time.Time { return decodeAge(v.echoSentAt(m), m.LogAge) }

// echoSentAt returns when the message that m answers was sent, zero if m is an Ask or the
// time is no longer known.
func (v *View) echoSentAt(m Exchange) time.Time {
	if m.Step == Ask {
		return time.Time{}
	}
	return v.SentAt(m.Echo)
}

// MajorityAt returns the sender's evidence from a majority. It is valid for the
// receiver too if the sender knows at least as many entries, since the receiver hears
// of all members of the majority through the sender. A starting entry must not use
// evidence from before its start, to which its earlier incarnation may have contributed.
func (v *View) MajorityAt(m Exchange) Majority {
	self := v.get(v.self)
	at := decodeAge(v.echoSentAt(m), m.MajorityAge)
	known := v.knownCount()
	if self.State == Starting {
		known = max(known, v.maxPeerKnown)
	}
	if int(m.Known) < known || self.State == Starting && !at.After(self.KnownAt) {
		return Majority{}
	}
	return Majority{At: at, Known: int(m.Known)}
}

// MergeMessage merges a message into the view.
func (v *View) MergeMessage(now time.Time, m Exchange) {
	base := v.echoSentAt(m)
	if m.Profile.Name != "" {
		v.mergeProfile(now, m.Profile)
	}
	for _, p := range m.Profiles {
		v.mergeProfile(now, p)
	}
	v.newestVersion = max(v.newestVersion, m.Top)
	v.maxPeerKnown = max(v.maxPeerKnown, int(m.Known))
	for _, r := range m.Rows {
		v.mergeRow(now, base, m.Top, r)
	}
}

func (v *View) mergeProfile(now time.Time, p Profile) {
	current := v.get(p.Name)
	same := current != nil && current.Incarnation == p.Incarnation
	if p.Name == v.self || p.Incarnation == 0 || same || v.Outdated(now, p.Name, p.Incarnation) {
		return
	}
	e := Entry{
		Name: p.Name, Incarnation: p.Incarnation, PeerAddress: p.PeerAddress,
		CallerAddress: p.CallerAddress, DataCentre: p.DataCentre, KnownAt: now, ChangedAt: now,
	}
	if current != nil {
		e.Listed = current.Listed
		e.ListedLeaving = current.ListedLeaving
	}
	v.learnedAt = now
	v.replace(e)
}

func (v *View) mergeRow(now, base time.Time, top uint64, r Row) {
	e, ok := v.byID[r.ID]
	if !ok && len(v.wanted) < v.maxRows() && !slices.Contains(v.wanted, r.ID) {
		v.wanted = append(v.wanted, r.ID)
	}
	if e == nil || e.Name == v.self {
		return
	}
	v.advanceState(now, e, r.State)
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
