package reducer

import (
	"time"

	"github.com/azuretrestle/azuretrestle/internal/gossiper"
)

const (
	// copyPatience is how long an entry relies on the last copy of another one. With
	// the wait of a reader that takes over it stays well below the 2 s in which a
	// drain or a document has to take effect.
	copyPatience = 1000 * time.Millisecond
	// turnDelay is the wait per entry that comes before this one, so that usually
	// one entry takes over the reading, for the first maxTurns of them; for each
	// further one it is shortTurn, up to maxShort of them. Should the first entries
	// all be gone, the others would otherwise open connections to the store at the
	// same moment, and some would not get through to it.
	turnDelay = 150 * time.Millisecond
	maxTurns  = 3
	shortTurn = 8 * time.Millisecond
	maxShort  = 50
	// maxCopiedRoutes bounds the routes that are copied. A route takes about 200
	// bytes, and the link of an entry may carry no more than 1 MB a second.
	maxCopiedRoutes = 100
	// requestInterval is the time between two requests for missing records.
	requestInterval = 250 * time.Millisecond
	// copyCheck is how often an entry that relies on copies looks at their age.
	copyCheck = 100 * time.Millisecond
)

// readDue reads a topic if it is this entry's turn, or else once copies are missing.
func (n *Node) readDue(t Topic, id uint64) {
	r := &n.follow.read[t]
	if id != r.id {
		return
	}
	turn := n.turn()
	due := r.copiedAt.Add(copyPatience + turnWait(turn))
	if turn == 0 || !n.now.Before(due) {
		n.readOn(t)
		return
	}
	next := n.now.Add(copyCheck)
	if due.Before(next) {
		next = due
	}
	n.after(next, func() { n.readDue(t, id) })
}

// turnWait is how much longer an entry waits for copies than the first one after the reader.
func turnWait(turn int) time.Duration {
	short := min(max(turn-maxTurns, 0), maxShort)
	return turnDelay*time.Duration(min(turn, maxTurns)) + shortTurn*time.Duration(short)
}

// turn is the number of entries that are to read before this one.
func (n *Node) turn() int {
	before := 0
	for e := range n.view.All() {
		if e.Name < n.Name && e.State == gossiper.Alive && !e.Suspected(n.now) {
			before++
		}
	}
	return before
}

// shareRead passes on what a read brought. After a list of all records others
// have to read for themselves, since it tells of what is missing only by its absence.
func (n *Node) shareRead(ev StoreRead, from uint64, changes []Fact) {
	c := StoreCopy{Topic: ev.Topic, From: from, Next: ev.Next, LapseLeft: max(n.follow.registrar.LapseUntil().Sub(n.now), 0)}
	if ev.Whole {
		c.From = ev.Next
	}
	if tooLarge(changes) {
		c.From, c.Skipped = ev.Next, true
		changes = nil
	}
	for _, f := range changes {
		switch f := f.(type) {
		case DocumentFact:
			c.Documents = append(c.Documents, f)
		case RegistrationFact:
			c.Registrations = append(c.Registrations, f)
		case RemovalFact:
			c.Removed = append(c.Removed, RemovedCopy{Name: f.Name, After: len(c.Registrations)})
		case UnreadableFact:
		}
	}
	for _, e := range n.view.Entries() {
		if n.answers(e) {
			n.send(e.Name, c)
		}
	}
}

// tooLarge reports whether copies of a document would fill the link of the entry that reads.
func tooLarge(changes []Fact) bool {
	routes := 0
	for _, f := range changes {
		if d, ok := f.(DocumentFact); ok {
			routes += len(d.Routes)
		}
	}
	return routes > maxCopiedRoutes
}

// storeCopied takes what another entry read, and asks for the records in between if some are missing here.
func (n *Node) storeCopied(from string, c StoreCopy) {
	if n.Managed == nil || c.Topic >= topics {
		return
	}
	r := &n.follow.read[c.Topic]
	switch {
	case c.Whole && (!r.loaded || c.Next > r.next):
		r.loaded = true
	case c.Whole || !r.loaded || c.Next < r.next:
		return
	case c.From > r.next && (c.Skipped || r.wanted > r.next):
		r.copiedAt = n.now
		n.readSkipped(c.Topic, c.Next)
		return
	case c.From > r.next:
		n.requestMissing(from)
		return
	}
	r.copiedAt = n.now
	if c.LapseLeft > 0 {
		n.follow.registrar.Resumed(later(n.follow.registrar.LapseUntil(), n.now.Add(c.LapseLeft)))
	}
	if c.Next == r.next && !c.Whole {
		return
	}
	r.next = c.Next
	r.end = 0
	names := make(map[string]bool)
	for _, f := range c.facts() {
		n.takeFact(f, names)
	}
	if c.Whole && c.Topic == TopicUpstreams {
		n.follow.registrar.Keep(n.now, names)
	}
	n.applyStore()
}

// readSkipped reads records that others have read and do not pass on. A read in
// progress goes on: each entry that reads a large document tells all others, and
// over a thin link a read that began anew each time would never end.
func (n *Node) readSkipped(t Topic, wanted uint64) {
	r := &n.follow.read[t]
	r.wanted = max(r.wanted, wanted)
	if r.busy {
		return
	}
	n.readOn(t)
	r.private = true
}

// requestMissing asks a peer for records that its copies lack. If it does not
// answer, copies go stale and this entry reads the store.
func (n *Node) requestMissing(peer string) {
	if n.now.Before(n.follow.requestAt) {
		return
	}
	n.follow.requestAt = n.now.Add(requestInterval)
	n.send(peer, StoreRequest{})
}

// requestStore asks a peer for what it read, while the store does not answer an entry that starts.
func (n *Node) requestStore() {
	var peers []string
	for _, e := range n.view.Entries() {
		if n.answers(e) && e.State != gossiper.Starting {
			peers = append(peers, e.Name)
		}
	}
	if len(peers) > 0 {
		n.send(peers[n.random.IntN(len(peers))], StoreRequest{})
	}
}

// storeRequested answers with all that this entry knows. The receiver reads on
// from the same offsets once the store answers it.
func (n *Node) storeRequested(from string) {
	if n.Managed == nil || !n.follow.complete() {
		return
	}
	g := n.follow.registrar
	left := max(g.LapseUntil().Sub(n.now), 0)
	documents := StoreCopy{Topic: TopicDocument, Whole: true, Next: n.follow.read[TopicDocument].next}
	documents.Documents = []DocumentFact{{*g.Document()}}
	n.send(from, documents)
	upstreams := StoreCopy{Topic: TopicUpstreams, Whole: true, Next: n.follow.read[TopicUpstreams].next, LapseLeft: left}
	for _, r := range g.Registrations() {
		upstreams.Registrations = append(upstreams.Registrations, RegistrationFact{r})
	}
	n.send(from, upstreams)
}

// facts returns the records in their order.
func (c StoreCopy) facts() []Fact {
	var out []Fact
	for _, d := range c.Documents {
		out = append(out, d)
	}
	removed := c.Removed
	for i, r := range c.Registrations {
		for len(removed) > 0 && removed[0].After <= i {
			out = append(out, RemovalFact{Name: removed[0].Name})
			removed = removed[1:]
		}
		out = append(out, r)
	}
	for _, r := range removed {
		out = append(out, RemovalFact{Name: r.Name})
	}
	return out
}
