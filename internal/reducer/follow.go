package reducer

import (
	"time"

	"github.com/azuretrestle/azuretrestle/internal/auditor"
	"github.com/azuretrestle/azuretrestle/internal/registrar"
	"github.com/azuretrestle/azuretrestle/internal/router"
	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

// Managed describes a deployment whose operator writes whole configurations to
// a store, where upstreams register themselves.
type Managed struct {
	// AnswerPeriod is how long a caller may use an answer that names entries.
	AnswerPeriod time.Duration
	// RepeatRatio is the largest share of a service's requests that all entries
	// together may send once more.
	RepeatRatio float64
	// RepeatSlack is the number of repeats beyond that share, all entries together.
	RepeatSlack float64
	// ProbeRate is the number of probes per upstream and second, all entries together.
	ProbeRate float64
}

const (
	// pollInterval is how often a topic is read. A drain or a document has to take
	// effect within 2 s, of which an answer of the store may take some. A read that
	// waits for a record is no substitute: one that met an outage or an append was
	// at times not answered before its end.
	pollInterval = 800 * time.Millisecond
	// wholePatience is the time after which a read of all records has failed.
	wholePatience = 1500 * time.Millisecond
	// pollPatience is the time after which a read has failed.
	pollPatience = time.Second
	// leastLapse is how long registrations may be missing at least once the store
	// answers again. It may have been back since the last read that failed began,
	// so that the whole period counts from there: a leaving upstream must not be
	// held for longer.
	leastLapse = 800 * time.Millisecond
	// retryInterval is the pause after a failed read; a random part of it is added.
	retryInterval = 300 * time.Millisecond
	// firstRetryShare is the reciprocal share of the random part that passes after the first failure.
	firstRetryShare = 3
	// retryDelay is added to the pause per entry that comes before this one, for at most maxRetryTurns.
	retryDelay    = 150 * time.Millisecond
	maxRetryTurns = 10
	// newerInterval is the time between two reads for a version that peers have.
	newerInterval = 500 * time.Millisecond
	// outagePeriod is the length of an outage from which registrations may have expired by it.
	outagePeriod = 2 * time.Second
	// managedShare is the part of the allowed repeats that is used, since entries
	// count requests at other times than those who judge them.
	managedShare = 0.85
	// slackShare is the part of the slack that is used.
	slackShare = 0.7
	// leastEntries is the number of entries assumed to share the slack while fewer are known.
	leastEntries = 6
)

// Topic is a part of the store that a managed entry follows.
type Topic uint8

// The topics.
const (
	TopicDocument Topic = iota
	TopicUpstreams
	topics
)

// String returns the topic's name.
func (t Topic) String() string {
	names := [...]string{"Document", "Upstreams"}
	if int(t) < len(names) {
		return names[t]
	}
	return "Unknown"
}

// Fact is one record of the store.
type Fact interface{ fact() }

// DocumentFact is a configuration of the operator.
type DocumentFact struct{ registrar.Document }

// RegistrationFact is what an upstream says of itself.
type RegistrationFact struct{ registrar.Registration }

// RemovalFact ends the registration of an upstream.
type RemovalFact struct{ Name string }

// UnreadableFact is a record that makes no sense; what it would replace stays in force.
type UnreadableFact struct {
	Name    string
	Problem string
}

func (DocumentFact) fact()     {}
func (RegistrationFact) fact() {}
func (RemovalFact) fact()      {}
func (UnreadableFact) fact()   {}

// ReadStore reads a topic.
type ReadStore struct {
	// ID is that of the answer; a read ends an earlier one of its topic.
	ID    uint64
	Topic Topic
	// Whole asks for the newest record of each key instead of the records from an offset on.
	Whole    bool
	From     uint64
	Deadline time.Time
}

// StoreRead delivers records of a topic in their order.
type StoreRead struct {
	Stamp
	ID    uint64
	Topic Topic
	// Whole is set if Facts are all that the topic holds.
	Whole bool
	Facts []Fact
	// Next is the offset after the last record.
	Next uint64
	// End is the offset that the next append gets. A list of all records may be
	// older than the end that comes with it.
	End uint64
}

// StoreFailed reports a read of the store without a usable answer.
type StoreFailed struct {
	Stamp
	ID    uint64
	Topic Topic
	// Expired is set if the store no longer has the records.
	Expired bool
	Problem string
}

func (ReadStore) effect()  {}
func (StoreRead) event()   {}
func (StoreFailed) event() {}

// following is a managed node's part in reading the store.
type following struct {
	registrar *registrar.Registrar
	config    *patcher.Config
	routes    *router.Table
	read      [topics]reading
	// newerAt is when the document may be read again for a version that peers have.
	newerAt time.Time
	// requestAt is when a peer may be asked again for missing records.
	requestAt time.Time
	// expiry is the timer of lapsed registrations.
	expiry *timer
	// entries is the number of entries that the configuration in force was divided by.
	entries int
}

// reading is the progress in one topic.
type reading struct {
	// id is that of the read in progress.
	id   uint64
	next uint64
	// end is the end that came with a list of all records that has not been read on from yet, 0 if there is none.
	end uint64
	// loaded is set once the topic was read whole.
	loaded bool
	// begunAt is when the read in progress, or the last one, began.
	begunAt time.Time
	// failedAt is when the first of the last reads failed; zero while the store answers.
	failedAt time.Time
	// copiedAt is when another entry last passed on what it read.
	copiedAt time.Time
	// triedAt is when the last read that failed began.
	triedAt time.Time
	// busy is set while a read is in progress.
	busy bool
	// wanted is the offset up to which others have read what they do not pass on.
	wanted uint64
	// private is set if the read in progress is for such records, which all others read too.
	private bool
}

func newFollowing() following {
	return following{registrar: registrar.New(), config: &patcher.Config{}, routes: router.New(nil)}
}

// complete reports whether requests can be served.
func (f *following) complete() bool {
	return f.registrar.Loaded() && f.read[TopicUpstreams].loaded
}

func (n *Node) startFollowing() {
	for t := range topics {
		n.readWhole(t)
	}
}

func (n *Node) readWhole(t Topic) {
	n.emit(ReadStore{ID: n.newRead(t), Topic: t, Whole: true, Deadline: n.now.Add(wholePatience)})
}

func (n *Node) newRead(t Topic) uint64 {
	r := &n.follow.read[t]
	r.id++
	r.begunAt = n.now
	r.busy = true
	r.private = false
	return r.id
}

func (n *Node) readOn(t Topic) {
	r := ReadStore{ID: n.newRead(t), Topic: t, From: n.follow.read[t].next, Deadline: n.now.Add(pollPatience)}
	n.emit(r)
}

func (n *Node) storeRead(ev StoreRead) {
	r := &n.follow.read[ev.Topic]
	if ev.ID != r.id {
		return
	}
	r.busy = false
	private := r.private
	if !r.failedAt.IsZero() {
		n.storeBack(ev.Topic, r)
	}
	from := r.next
	r.next = ev.Next
	r.end = 0
	if ev.Whole {
		r.end = ev.End
	}
	r.loaded = r.loaded || ev.Whole
	names := make(map[string]bool)
	var changes []Fact
	for _, f := range ev.Facts {
		if n.takeFact(f, names) {
			changes = append(changes, f)
		}
	}
	if ev.Whole && ev.Topic == TopicUpstreams {
		n.follow.registrar.Keep(n.now, names)
	}
	n.applyStore()
	if !private {
		n.shareRead(ev, from, changes)
	}
	if r.wanted > r.next && r.next > from {
		n.readSkipped(ev.Topic, r.wanted)
		return
	}
	n.after(n.now.Add(pollInterval), func() { n.readDue(ev.Topic, ev.ID) })
}

func (n *Node) storeBack(t Topic, r *reading) {
	if t == TopicUpstreams && n.now.Sub(r.failedAt) >= outagePeriod {
		n.follow.registrar.Resumed(later(r.triedAt.Add(registrar.LapsePeriod), n.now.Add(leastLapse)))
	}
	r.failedAt = time.Time{}
	n.audit(auditor.Entry{Actor: n.Name, Action: "StoreBack", Subject: t.String(), Cause: "read succeeded", Version: n.Config().Version})
}

func (n *Node) storeFailed(ev StoreFailed) {
	r := &n.follow.read[ev.Topic]
	if ev.ID != r.id {
		return
	}
	if ev.Expired {
		n.readExpired(ev.Topic, r)
		return
	}
	r.busy = false
	r.triedAt = r.begunAt
	pause := n.retryPause(r)
	if r.failedAt.IsZero() {
		r.failedAt = n.now
		n.audit(auditor.Entry{Actor: n.Name, Action: "StoreLost", Subject: ev.Topic.String(), Cause: ev.Problem, Version: n.Config().Version})
	}
	n.after(n.now.Add(pause), func() {
		switch {
		case ev.ID != r.id:
		case r.loaded:
			n.readDue(ev.Topic, ev.ID)
		default:
			n.readWhole(ev.Topic)
		}
	})
}

// retryPause is the pause after a failed read. The first failure may be one of
// the connection alone, so that the read is soon repeated. Later on entries that
// come later wait longer: the first ones notice the end of an outage for all.
func (n *Node) retryPause(r *reading) time.Duration {
	random := time.Duration(n.random.Int64N(int64(retryInterval)))
	if r.failedAt.IsZero() {
		return random / firstRetryShare
	}
	return retryInterval + random + retryDelay*time.Duration(min(n.turn(), maxRetryTurns))
}

// readNewer reads the document again because a peer has a newer version, which
// the read in progress should have brought.
func (n *Node) readNewer() {
	f := &n.follow
	r := f.read[TopicDocument]
	reading := r.busy && n.now.Before(r.begunAt.Add(pollPatience))
	if !r.loaded || reading || n.now.Before(f.newerAt) {
		return
	}
	first := f.newerAt.IsZero() || n.now.Sub(f.newerAt) > 2*newerInterval
	f.newerAt = n.now.Add(newerInterval)
	if !first {
		n.readOn(TopicDocument)
	}
}

// readExpired reads a list of all records, or goes on at its end if the records
// between the list and its end are those that have expired.
func (n *Node) readExpired(t Topic, r *reading) {
	if r.end <= r.next {
		n.readWhole(t)
		return
	}
	r.next = r.end
	r.end = 0
	n.readOn(t)
}

// takeFact takes a record over and notes its name; it reports whether peers need it.
func (n *Node) takeFact(f Fact, names map[string]bool) bool {
	g := n.follow.registrar
	switch f := f.(type) {
	case DocumentFact:
		if !g.Load(f.Document) {
			return false
		}
		n.follow.routes = g.Table()
		n.audit(auditor.Entry{Actor: "Operator", Action: "ConfigInForce", Subject: "Document", Cause: "read from the store", Version: f.Version})
		return true
	case RegistrationFact:
		names[f.Name] = true
		return g.Register(f.Registration)
	case RemovalFact:
		g.Deregister(n.now, f.Name)
		return true
	case UnreadableFact:
		names[f.Name] = true
		n.audit(auditor.Entry{Actor: f.Name, Action: "RecordIgnored", Subject: f.Name, Cause: f.Problem, Version: n.Config().Version})
	}
	return false
}

// applyStore puts changes of the document, the registrations and the number of entries in force.
func (n *Node) applyStore() {
	f := &n.follow
	n.timers.stop(f.expiry)
	f.expiry = nil
	if next := f.registrar.Expire(n.now); !next.IsZero() {
		f.expiry = n.after(next, n.applyStore)
	}
	c, changed := f.registrar.Config()
	if !changed && f.entries != n.entryCount() {
		c = f.config
		changed = f.registrar.Loaded()
	}
	if !changed {
		n.refresh()
		return
	}
	f.entries = n.entryCount()
	n.shareSlack()
	f.config = n.divide(c)
	n.takeConfig(f.config)
	n.refresh()
	for _, name := range sortedKeys(n.services) {
		n.pump(n.services[name])
	}
}

// divide returns a configuration that divides what upstreams grant by the number of entries.
func (n *Node) divide(c *patcher.Config) *patcher.Config {
	out := &patcher.Config{Version: c.Version, Services: make([]patcher.Service, len(c.Services))}
	copy(out.Services, c.Services)
	for i := range out.Services {
		out.Services[i].MaxEntries = n.follow.entries
	}
	return out
}

// entryCount is the number of entries that share the upstreams.
func (n *Node) entryCount() int { return max(len(n.view.Alive(n.now)), 1) }

// managedAllowance starts without savings, since the number of entries that
// share the slack is not known yet.
func (n *Node) managedAllowance() *allowance { return &allowance{most: n.slack()} }

// slack is this entry's part of the repeats beyond the ratio.
func (n *Node) slack() float64 {
	return n.Managed.RepeatSlack * slackShare / float64(max(n.entryCount(), leastEntries))
}

// shareSlack divides the slack by the number of entries known now.
func (n *Node) shareSlack() {
	for _, s := range n.services {
		s.repeats.most = n.slack()
		s.repeats.saved = min(s.repeats.saved, s.repeats.most)
	}
}

// SetManaged changes the bounds of a managed node; what was saved up for repeats
// stays within them.
func (n *Node) SetManaged(m Managed) {
	n.Managed = &m
	n.shareSlack()
}

// Match returns the route of a request and the service that serves it; it
// reports false if there is none.
func (n *Node) Match(host, path string) (router.Route, string, bool) {
	return n.follow.routes.Match(host, path)
}

// Configured reports whether the node has a configuration.
func (n *Node) Configured() bool { return n.Config().Version > 0 }

// Ready reports whether new callers may use the entry.
func (n *Node) Ready() bool { return n.stop.phase == PhaseServing && n.mayStart() }

// Limits returns the limits on callers of the document in force.
func (n *Node) Limits() registrar.Limits { return n.follow.registrar.Document().Limits }
