package reducer

import (
	"time"

	"github.com/azuretrestle/azuretrestle/internal/gossiper"
)

const (
	// copyTimeout is how long an entry relies on the last copy from a peer.
	// Together with the takeover delay it stays well below the 2 s within which a
	// drain or a document has to take effect.
	copyTimeout = 1000 * time.Millisecond
	// takeoverDelay is the delay per preceding entry before this one reads the
	// store itself, so that usually only one entry takes over. It applies to the first
	// maxTakeoverDelays entries; each further one adds shortTakeoverDelay, up to
	// maxShortDelays times. Without the short delays, the remaining entries would
	// all connect to the store at the same moment if the first ones failed, and
	// some connections would fail.
	takeoverDelay      = 150 * time.Millisecond
	maxTakeoverDelays  = 3
	shortTakeoverDelay = 8 * time.Millisecond
	maxShortDelays     = 50
	// maxCopiedRoutes limits the routes that are copied to peers. A route takes
	// about 200 bytes, and the link of an entry may carry no more than 1 MB/s.
	maxCopiedRoutes = 100
	// storeRequestInterval is the minimum time between two requests for missing records.
	storeRequestInterval = 250 * time.Millisecond
	// copyCheckInterval is how often an entry that relies on copies checks their age.
	copyCheckInterval = 100 * time.Millisecond
)

// pollIfDue reads a topic if this entry is the reader or copies are overdue;
// otherwise it checks again later.
func (n *Node) pollIfDue(t Topic, id uint64) {
	r := &n.follow.readers[t]
	if id != r.id {
		return
	}
	preceding := n.precedingEntries()
	due := r.lastCopyAt.Add(copyTimeout + takeoverWait(preceding))
	if preceding == 0 || !n.now.Before(due) {
		n.readNext(t)
		return
	}
	next := n.now.Add(copyCheckInterval)
	if due.Before(next) {
		next = due
	}
	n.runAt(next, func() { n.pollIfDue(t, id) })
}

// takeoverWait returns how much longer than copyTimeout an entry waits for copies
// before it reads itself.
func takeoverWait(preceding int) time.Duration {
	short := min(max(preceding-maxTakeoverDelays, 0), maxShortDelays)
	return takeoverDelay*time.Duration(min(preceding, maxTakeoverDelays)) + shortTakeoverDelay*time.Duration(short)
}

// precedingEntries returns the number of live entries that come before this one by
// name. The first entry reads the store and copies to the others.
func (n *Node) precedingEntries() int {
	count := 0
	for e := range n.view.All() {
		if e.Name < n.Name && e.State == gossiper.Alive && !n.view.Suspected(n.now, e) {
			count++
		}
	}
	return count
}

// copyToPeers sends the result of a read to the peers. After a read of all records
// the copy covers an empty range of offsets, so that a peer that is behind requests
// all records: a list of all records shows removals only by what it omits.
func (n *Node) copyToPeers(ev StoreRead, from uint64, changes []StoreRecord) {
	c := StoreCopy{Topic: ev.Topic, From: from, Next: ev.Next, LapseLeft: max(n.follow.registrar.RenewalGraceEnd().Sub(n.now), 0)}
	if ev.Whole {
		c.From = ev.Next
	}
	if tooLarge(changes) {
		c.From, c.Skipped = ev.Next, true
		changes = nil
	}
	for _, change := range changes {
		switch r := change.(type) {
		case DocumentRecord:
			c.Documents = append(c.Documents, r)
		case RegistrationRecord:
			c.Registrations = append(c.Registrations, r)
		case RemovalRecord:
			c.Removed = append(c.Removed, RemovedCopy{Name: r.Name, After: len(c.Registrations)})
		case UnreadableRecord:
		}
	}
	for _, e := range n.view.Entries() {
		if e.Name != n.Name && n.view.IsPresent(n.now, e) {
			n.send(e.Name, c)
		}
	}
}

// tooLarge reports whether copies of a document would saturate the link of the reading entry.
func tooLarge(changes []StoreRecord) bool {
	routes := 0
	for _, r := range changes {
		if d, ok := r.(DocumentRecord); ok {
			routes += len(d.Routes)
		}
	}
	return routes > maxCopiedRoutes
}

// storeCopied applies a copy from a peer. If it begins beyond the next record that
// this entry needs, the missing records are requested or read.
func (n *Node) storeCopied(from string, c StoreCopy) {
	if n.Managed == nil || c.Topic >= topicCount {
		return
	}
	r := &n.follow.readers[c.Topic]
	uninformed := r.uninformed(n.now)
	switch {
	case c.Whole && (!r.loaded || c.Next > r.next):
		r.loaded = true
	case c.Whole || !r.loaded || c.Next < r.next:
		return
	case c.From > r.next && (c.Skipped || r.targetOffset > r.next):
		r.lastCopyAt = n.now
		n.readSkipped(c.Topic, c.Next)
		return
	case c.From > r.next:
		n.requestMissing(from)
		return
	}
	r.lastCopyAt = n.now
	if !c.Whole {
		r.informedAt = n.now
	}
	if c.LapseLeft > 0 && uninformed {
		n.follow.registrar.RegistryResumed(later(n.follow.registrar.RenewalGraceEnd(), n.now.Add(c.LapseLeft)))
	}
	if c.Next == r.next && !c.Whole {
		return
	}
	r.next = c.Next
	r.end = 0
	names := make(map[string]bool)
	for _, record := range c.records() {
		n.applyRecord(record, "copied by "+from, names)
	}
	if c.Whole && c.Topic == TopicUpstreams {
		n.follow.registrar.RetainOnly(n.now, names)
	}
	n.applyStore()
}

// readSkipped reads records that peers have read but do not copy. A read in
// progress is not restarted: each entry that reads a large document notifies all
// others, and over a slow link a read restarted each time would never end.
func (n *Node) readSkipped(t Topic, target uint64) {
	r := &n.follow.readers[t]
	r.targetOffset = max(r.targetOffset, target)
	if r.inProgress {
		return
	}
	n.readNext(t)
	r.uncopied = true
}

// requestMissing requests from a peer the records that are missing between copies.
// If the peer does not respond, copies become stale and this entry reads the store
// itself.
func (n *Node) requestMissing(peer string) {
	if n.now.Before(n.follow.nextStoreRequestAt) {
		return
	}
	n.follow.nextStoreRequestAt = n.now.Add(storeRequestInterval)
	n.send(peer, StoreRequest{})
}

// requestStoreCopy requests a copy from a random peer while a starting entry gets
// no response from the store.
func (n *Node) requestStoreCopy() {
	var peers []string
	for _, e := range n.view.Entries() {
		if n.responsive(e) && e.State != gossiper.Starting {
			peers = append(peers, e.Name)
		}
	}
	if len(peers) > 0 {
		n.send(peers[n.random.IntN(len(peers))], StoreRequest{})
	}
}

// storeRequested sends a peer all that this entry has read from the store. The peer
// continues from the same offsets once the store responds to it.
func (n *Node) storeRequested(from string) {
	if n.Managed == nil || !n.follow.complete() {
		return
	}
	g := n.follow.registrar
	graceLeft := max(g.RenewalGraceEnd().Sub(n.now), 0)
	documents := StoreCopy{Topic: TopicDocument, Whole: true, Next: n.follow.readers[TopicDocument].next}
	documents.Documents = []DocumentRecord{{*g.Document()}}
	n.send(from, documents)
	upstreams := StoreCopy{Topic: TopicUpstreams, Whole: true, Next: n.follow.readers[TopicUpstreams].next, LapseLeft: graceLeft}
	for _, r := range g.Registrations() {
		upstreams.Registrations = append(upstreams.Registrations, RegistrationRecord{r})
	}
	n.send(from, upstreams)
}

// records returns the records of a copy in their original order.
func (c StoreCopy) records() []StoreRecord {
	var out []StoreRecord
	for _, d := range c.Documents {
		out = append(out, d)
	}
	removed := c.Removed
	for i, r := range c.Registrations {
		for len(removed) > 0 && removed[0].After <= i {
			out = append(out, RemovalRecord{Name: removed[0].Name})
			removed = removed[1:]
		}
		out = append(out, r)
	}
	for _, r := range removed {
		out = append(out, RemovalRecord{Name: r.Name})
	}
	return out
}
