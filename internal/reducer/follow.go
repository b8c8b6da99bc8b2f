package reducer

import (
	"time"

	"github.com/azuretrestle/azuretrestle/internal/auditor"
	"github.com/azuretrestle/azuretrestle/internal/registrar"
	"github.com/azuretrestle/azuretrestle/internal/router"
	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

// Managed holds the settings of a managed entry. Its operator writes whole
// configurations to a store, in which upstreams register themselves.
type Managed struct {
	// AnswerPeriod is how long a caller may use a list of entries.
	AnswerPeriod time.Duration
	// RepeatRatio is the maximum ratio of retries to requests of a service, over all entries.
	RepeatRatio float64
	// RepeatSlack is the number of retries allowed beyond that ratio, over all entries.
	RepeatSlack float64
	// ProbeRate is the number of probes per upstream and second, over all entries.
	ProbeRate float64
}

const (
	// pollInterval is the interval between reads of a topic. A drain or a document
	// has to take effect within 2 s, part of which the store may take to respond.
	// Long polling is not used: a long poll during an outage or an append sometimes
	// got no response before its deadline.
	pollInterval = 800 * time.Millisecond
	// fullReadTimeout is the timeout of a read of all records of a topic.
	fullReadTimeout = 1500 * time.Millisecond
	// pollTimeout is the timeout of a read from an offset.
	pollTimeout = time.Second
	// minRenewalGrace is the minimum time after the store responds again during
	// which registrations may be missing. The store may have been back since the
	// last failed read began, so the full grace period is counted from that time;
	// otherwise a leaving upstream would be kept for too long.
	minRenewalGrace = 800 * time.Millisecond
	// retryInterval is the minimum delay after a failed read; a random delay of up
	// to the same length is added.
	retryInterval = 300 * time.Millisecond
	// firstRetryDivisor divides the random delay after the first failure, to which
	// retryInterval is not added.
	firstRetryDivisor = 3
	// retryDelayPerEntry is added to the delay for each entry that precedes this
	// one, at most maxRetryDelays times.
	retryDelayPerEntry = 150 * time.Millisecond
	maxRetryDelays     = 10
	// newerReadInterval is the minimum time between two reads of the document that
	// are made because a peer has a newer version.
	newerReadInterval = 500 * time.Millisecond
	// minOutage is the time without knowledge of the store, after failed reads, from
	// which registrations may have expired because of an outage of the store.
	minOutage = 2 * time.Second
	// managedBudgetFactor is the share of the allowed retries and probes that is
	// used. The rest is margin, since an external check of the limits counts
	// requests at other times than the entries do.
	managedBudgetFactor = 0.85
	// retrySlackFactor is the share of the retry slack that is used.
	retrySlackFactor = 0.7
	// minEntryCount is the number of entries assumed to share the retry slack and the
	// probe budget while fewer are known.
	minEntryCount = 6
)

// Topic is a part of the store that a managed entry reads.
type Topic uint8

// The topics.
const (
	TopicDocument Topic = iota
	TopicUpstreams
	topicCount
)

// String returns the topic's name.
func (t Topic) String() string {
	names := [...]string{"Document", "Upstreams"}
	if int(t) < len(names) {
		return names[t]
	}
	return "Unknown"
}

// StoreRecord is one record of the store.
type StoreRecord interface{ storeRecord() }

// DocumentRecord is a configuration written by the operator.
type DocumentRecord struct{ registrar.Document }

// RegistrationRecord is the registration of an upstream.
type RegistrationRecord struct{ registrar.Registration }

// RemovalRecord ends the registration of an upstream.
type RemovalRecord struct{ Name string }

// UnreadableRecord is a record that can't be parsed; the record that it would replace stays in force.
type UnreadableRecord struct {
	Name    string
	Problem string
}

func (DocumentRecord) storeRecord()     {}
func (RegistrationRecord) storeRecord() {}
func (RemovalRecord) storeRecord()      {}
func (UnreadableRecord) storeRecord()   {}

// ReadStore reads a topic.
type ReadStore struct {
	// ID is returned with the response. A read cancels an earlier one of its topic.
	ID    uint64
	Topic Topic
	// Whole requests the newest record of each key instead of the records from an offset on.
	Whole    bool
	From     uint64
	Deadline time.Time
}

// StoreRead delivers records of a topic in their order.
type StoreRead struct {
	Stamp
	ID    uint64
	Topic Topic
	// Whole is set if Facts holds all records of the topic.
	Whole bool
	Facts []StoreRecord
	// Next is the offset after the last record.
	Next uint64
	// End is the offset of the next append. A list of all records may be older than
	// the End that comes with it.
	End uint64
}

// StoreFailed reports a read of the store without a usable response.
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

// storeFollower holds a managed node's state for reading the store.
type storeFollower struct {
	registrar *registrar.Registrar
	config    *patcher.Config
	routes    *router.Table
	readers   [topicCount]topicReader
	// nextRereadAt is the earliest time to read the document again because a peer has a newer version.
	nextRereadAt time.Time
	// nextStoreRequestAt is the earliest time to request missing records from a peer again.
	nextStoreRequestAt time.Time
	// expiryTimer fires when the grace period of the next missing registration ends.
	expiryTimer *timer
	// entries is the number of entries by which the configuration in force divides the
	// capacity of upstreams.
	entries int
}

// topicReader is the state of the reads of one topic.
type topicReader struct {
	// id is the ID of the read in progress.
	id   uint64
	next uint64
	// end is the End that came with a list of all records, until the next read
	// succeeds; 0 if there is none.
	end uint64
	// loaded is set once the whole topic has been read.
	loaded bool
	// startedAt is when the read in progress, or the last one, began.
	startedAt time.Time
	// failedAt is the time of the first failure since the last successful read;
	// zero while the store responds.
	failedAt time.Time
	// lastCopyAt is when a peer last sent a copy of what it read.
	lastCopyAt time.Time
	// informedAt is when this entry or a peer that sent a copy last read the store;
	// zero if neither did. A copy of all that a peer knows may be older.
	informedAt time.Time
	// failedReadStartedAt is when the last failed read began.
	failedReadStartedAt time.Time
	// inProgress is set while a read is in progress.
	inProgress bool
	// targetOffset is the offset up to which peers have read records that are too large to copy.
	targetOffset uint64
	// uncopied is set if the read in progress is for records that are too large to
	// copy, which every entry reads itself.
	uncopied bool
}

// uninformed reports whether the entry has learned nothing of the topic for so long that
// registrations may have expired in an outage of the store. As long as peers send copies,
// only the entry's own path to the store has failed.
func (r *topicReader) uninformed(now time.Time) bool { return now.Sub(r.informedAt) >= minOutage }

func newStoreFollower() storeFollower {
	return storeFollower{registrar: registrar.New(), config: &patcher.Config{}, routes: router.New(nil)}
}

// complete reports whether the node has all it needs to serve requests.
func (f *storeFollower) complete() bool {
	return f.registrar.Loaded() && f.readers[TopicUpstreams].loaded
}

func (n *Node) startFollowing() {
	for t := range topicCount {
		n.readAll(t)
	}
}

func (n *Node) readAll(t Topic) {
	n.emit(ReadStore{ID: n.beginRead(t), Topic: t, Whole: true, Deadline: n.now.Add(fullReadTimeout)})
}

func (n *Node) beginRead(t Topic) uint64 {
	r := &n.follow.readers[t]
	r.id++
	r.startedAt = n.now
	r.inProgress = true
	r.uncopied = false
	return r.id
}

func (n *Node) readNext(t Topic) {
	r := ReadStore{ID: n.beginRead(t), Topic: t, From: n.follow.readers[t].next, Deadline: n.now.Add(pollTimeout)}
	n.emit(r)
}

func (n *Node) storeRead(ev StoreRead) {
	r := &n.follow.readers[ev.Topic]
	if ev.ID != r.id {
		return
	}
	r.inProgress = false
	if ev.Next < r.next && !r.lastCopyAt.Before(r.startedAt) {
		// A copy that arrived during the read is newer.
		n.pollLater(ev.Topic, ev.ID)
		return
	}
	uncopied := r.uncopied
	if !r.failedAt.IsZero() {
		n.storeRecovered(ev.Topic, r)
	}
	r.informedAt = n.now
	from := r.next
	r.next = ev.Next
	r.end = 0
	if ev.Whole {
		r.end = ev.End
	}
	r.loaded = r.loaded || ev.Whole
	names := make(map[string]bool)
	var changes []StoreRecord
	for _, record := range ev.Facts {
		if n.applyRecord(record, "read from the store", names) {
			changes = append(changes, record)
		}
	}
	if ev.Whole && ev.Topic == TopicUpstreams {
		n.follow.registrar.RetainOnly(n.now, names)
	}
	n.applyStore()
	if !uncopied {
		n.copyToPeers(ev, from, changes)
	}
	if r.targetOffset > r.next && r.next > from {
		n.readSkipped(ev.Topic, r.targetOffset)
		return
	}
	n.pollLater(ev.Topic, ev.ID)
}

// pollLater polls a topic after pollInterval unless another read has begun by then.
func (n *Node) pollLater(t Topic, id uint64) {
	n.runAt(n.now.Add(pollInterval), func() { n.pollIfDue(t, id) })
}

func (n *Node) storeRecovered(t Topic, r *topicReader) {
	if t == TopicUpstreams && r.loaded && r.uninformed(n.now) {
		n.follow.registrar.RegistryResumed(later(r.failedReadStartedAt.Add(registrar.RenewalGracePeriod), n.now.Add(minRenewalGrace)))
	}
	r.failedAt = time.Time{}
	n.audit(auditor.Entry{Actor: n.Name, Action: "StoreBack", Subject: t.String(), Cause: "read succeeded", Version: n.Config().Version})
}

func (n *Node) storeFailed(ev StoreFailed) {
	r := &n.follow.readers[ev.Topic]
	if ev.ID != r.id {
		return
	}
	if ev.Expired {
		n.resumeExpiredRead(ev.Topic, r)
		return
	}
	r.inProgress = false
	r.failedReadStartedAt = r.startedAt
	backoff := n.retryBackoff(r)
	if r.failedAt.IsZero() {
		r.failedAt = n.now
		n.audit(auditor.Entry{Actor: n.Name, Action: "StoreLost", Subject: ev.Topic.String(), Cause: ev.Problem, Version: n.Config().Version})
	}
	n.runAt(n.now.Add(backoff), func() {
		switch {
		case ev.ID != r.id:
		case r.loaded:
			n.pollIfDue(ev.Topic, ev.ID)
		default:
			n.readAll(ev.Topic)
		}
	})
}

// retryBackoff returns the delay after a failed read. The first failure may concern
// only the connection, so the first retry comes soon. After that, the delay grows
// with the number of preceding entries: the first entries detect the end of an
// outage and copy to the others.
func (n *Node) retryBackoff(r *topicReader) time.Duration {
	random := time.Duration(n.random.Int64N(int64(retryInterval)))
	if r.failedAt.IsZero() {
		return random / firstRetryDivisor
	}
	return retryInterval + random + retryDelayPerEntry*time.Duration(min(n.precedingEntries(), maxRetryDelays))
}

// rereadDocument reads the document because a peer has a newer version, unless a read
// in progress may return it. The first call only starts a wait of newerReadInterval;
// the read follows if the version is still missing after that.
func (n *Node) rereadDocument() {
	f := &n.follow
	r := f.readers[TopicDocument]
	reading := r.inProgress && n.now.Before(r.startedAt.Add(pollTimeout))
	if !r.loaded || reading || n.now.Before(f.nextRereadAt) {
		return
	}
	first := f.nextRereadAt.IsZero() || n.now.Sub(f.nextRereadAt) > 2*newerReadInterval
	f.nextRereadAt = n.now.Add(newerReadInterval)
	if !first {
		n.readNext(TopicDocument)
	}
}

// resumeExpiredRead handles a read of records that have expired. It reads all records
// of the topic. If only records between the last list and its End have expired, it
// continues at that End instead.
func (n *Node) resumeExpiredRead(t Topic, r *topicReader) {
	if r.end <= r.next {
		n.readAll(t)
		return
	}
	r.next = r.end
	r.end = 0
	n.readNext(t)
}

// applyRecord applies a record and adds its name to names; it reports whether the
// record has to be copied to peers. source tells in the log how the record was learnt.
func (n *Node) applyRecord(record StoreRecord, source string, names map[string]bool) bool {
	g := n.follow.registrar
	switch r := record.(type) {
	case DocumentRecord:
		if !g.Load(r.Document) {
			return false
		}
		n.follow.routes = g.Table()
		n.emit(SetCallerLimits{r.Limits})
		n.audit(auditor.Entry{Actor: "Operator", Action: "ConfigInForce", Subject: "Document", Cause: source, Version: r.Version})
		return true
	case RegistrationRecord:
		names[r.Name] = true
		return g.Register(r.Registration)
	case RemovalRecord:
		g.Deregister(n.now, r.Name)
		return true
	case UnreadableRecord:
		names[r.Name] = true
		n.audit(auditor.Entry{Actor: r.Name, Action: "RecordIgnored", Subject: r.Name, Cause: r.Problem, Version: n.Config().Version})
	}
	return false
}

// applyStore puts changes of the document, of the registrations and of the number
// of entries in force.
func (n *Node) applyStore() {
	f := &n.follow
	n.timers.stop(f.expiryTimer)
	f.expiryTimer = nil
	if next := f.registrar.Expire(n.now); !next.IsZero() {
		f.expiryTimer = n.runAt(next, n.applyStore)
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
	n.divideRetrySlack()
	f.config = n.divideByEntries(c)
	n.applyConfig(f.config)
	n.refresh()
	for _, name := range sortedKeys(n.services) {
		n.dispatchWaiting(n.services[name])
	}
}

// divideByEntries returns a configuration that divides the capacity of upstreams by
// the number of entries.
func (n *Node) divideByEntries(c *patcher.Config) *patcher.Config {
	out := &patcher.Config{Version: c.Version, Services: make([]patcher.Service, len(c.Services))}
	copy(out.Services, c.Services)
	for i := range out.Services {
		out.Services[i].MaxEntries = n.follow.entries
	}
	return out
}

// entryCount returns the number of entries that share the upstreams.
func (n *Node) entryCount() int { return n.view.Present(n.now) }

// newManagedRetryBudget returns an empty bucket, since the number of entries that
// share the slack is not known yet.
func (n *Node) newManagedRetryBudget() *tokenBucket { return &tokenBucket{capacity: n.retrySlack()} }

// retrySlack returns this entry's part of the retry slack.
func (n *Node) retrySlack() float64 {
	return n.Managed.RepeatSlack * retrySlackFactor / float64(max(n.entryCount(), minEntryCount))
}

// divideRetrySlack divides the retry slack by the number of entries known now.
func (n *Node) divideRetrySlack() {
	for _, s := range n.services {
		s.retryBudget.capacity = n.retrySlack()
		s.retryBudget.tokens = min(s.retryBudget.tokens, s.retryBudget.capacity)
	}
}

// SetManaged replaces the settings of a managed node. Tokens above the new capacity
// of its retry budgets are discarded.
func (n *Node) SetManaged(m Managed) {
	n.Managed = &m
	n.divideRetrySlack()
}

// Match returns the route of a request and the service that handles it; it reports
// false if there is none.
func (n *Node) Match(host, path string) (router.Route, string, bool) {
	return n.follow.routes.Match(host, path)
}

// Configured reports whether the node has a configuration.
func (n *Node) Configured() bool { return n.Config().Version > 0 }

// Ready reports whether new callers may use the entry.
func (n *Node) Ready() bool { return n.stop.phase == PhaseServing && n.hasCurrentConfig() }

// Limits returns the caller limits of the document in force.
func (n *Node) Limits() registrar.Limits { return n.follow.registrar.Document().Limits }
