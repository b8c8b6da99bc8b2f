package reducer

import (
	"time"

	"github.com/azuretrestle/azuretrestle/internal/auditor"
	"github.com/azuretrestle/azuretrestle/internal/gossiper"
	"github.com/azuretrestle/azuretrestle/internal/versioner"
	"github.com/azuretrestle/azuretrestle/pkg/classifier"
)

const (
	gossipInterval = 500 * time.Millisecond
	// searchInterval is that of a managed entry which lacks its configuration. The
	// peers that could give it may be about to stop.
	searchInterval = 200 * time.Millisecond
	listInterval   = 5 * time.Second
	// listIntervalPerHost keeps the host list, about 100 bytes a line, near 0.3 KB/s.
	listIntervalPerHost = 300 * time.Millisecond
	listPatience        = 3 * time.Second
	// entryRole is the role of entries on the host list.
	entryRole = "Entry"
	// silencePeriod is how long an entry is silent before that goes onto the
	// audit trail; shorter silences are frequent with many entries.
	silencePeriod = 10 * time.Second
	// pausePeriod is a delay of a timer that shows a pause of the process.
	pausePeriod = time.Second
)

// membership is the node's part in the exchanges.
type membership struct {
	nextAt time.Time
	// majority is the newest evidence from peers.
	majority gossiper.Majority
	// resumedAt is when the process last came out of a pause.
	resumedAt time.Time
	// listed is the number of lines of the last host list.
	listed int
	// silent holds the incarnations whose silence was reported.
	silent map[string]uint64
	// disconnected holds when entries were last heard before their connection was ended.
	disconnected map[string]time.Time
}

// gossip starts the next exchange.
func (n *Node) gossip() {
	m := &n.members
	if n.now.After(m.nextAt.Add(pausePeriod)) {
		m.resumedAt = n.now
	}
	searching := n.Managed != nil && !n.follow.complete()
	m.nextAt = n.now.Add(gossipInterval)
	if searching {
		m.nextAt = n.now.Add(searchInterval)
	}
	n.after(m.nextAt, n.gossip)
	n.view.Forget(n.now)
	n.refresh()
	n.disconnectSilent()
	for _, t := range n.view.Next(n.now, n.random) {
		n.ask(t)
	}
	if n.Managed == nil {
		n.fetch()
		n.settle()
		n.confirm()
	}
	if searching {
		n.askSeeds()
		n.requestStore()
	}
	n.reportSilent()
}

func (n *Node) facts() gossiper.Facts {
	return gossiper.Facts{Next: n.config.log.Folded(), LogAt: n.config.fresh.LogAt, Majority: n.members.majority}
}

func (n *Node) ask(t gossiper.Target) {
	m := n.view.Compose(n.now, gossiper.Ask, t.Name, 0, n.facts(), n.random)
	if t.Name == "" {
		m.Profile = n.view.Profile()
	}
	n.emit(Send{To: t.Name, Incarnation: t.Incarnation, Address: t.Address, Message: Exchange{m}})
}

// askSeeds starts an exchange with whoever has the addresses that were named at the start.
func (n *Node) askSeeds() {
	for _, a := range n.view.Unresolved() {
		n.ask(gossiper.Target{Address: a})
	}
}

// askAll starts an exchange with every entry that answers, so that a new state is known at once.
func (n *Node) askAll() {
	for _, e := range n.view.Entries() {
		if n.answers(e) {
			n.ask(gossiper.Target{Name: e.Name, Incarnation: e.Incarnation, Address: e.PeerAddress})
		}
	}
}

func (n *Node) answers(e gossiper.Entry) bool {
	return e.Name != n.Name && e.State != gossiper.Stopped && e.Incarnation != 0 && !e.Suspected(n.now)
}

func (n *Node) exchange(from string, m Exchange) {
	n.view.Take(n.now, m.Exchange)
	if n.Managed != nil {
		n.refresh()
		n.respond(from, m)
		n.acknowledged(from, m.You)
		return
	}
	n.takeRecords(m.Records)
	if n.config.log.Folded() >= m.Next {
		n.config.fresh.LogAt = later(n.config.fresh.LogAt, n.view.LogAt(m.Exchange))
	}
	n.heardMajority(n.view.MajorityAt(m.Exchange))
	n.refresh()
	n.respond(from, m)
	n.acknowledged(from, m.You)
	n.fetch()
	n.settle()
}

func (n *Node) respond(from string, m Exchange) {
	step := gossiper.Reply
	switch m.Step {
	case gossiper.Reply:
		step = gossiper.Close
	case gossiper.Close:
		return
	}
	out := n.view.Compose(n.now, step, from, m.Sequence, n.facts(), n.random)
	if m.Step == gossiper.Ask && m.Profile.Name != "" {
		out.Profile = n.view.Profile()
	}
	out.Profiles = n.view.Profiles(m.Wanted)
	if n.Managed == nil {
		out.Records = n.delta(m.Next)
	}
	n.send(from, Exchange{out})
}

// refresh brings the own row and the evidence up to date.
func (n *Node) refresh() {
	version := n.Config().Version
	f := &n.config.fresh
	behind := n.view.Top() > version
	switch {
	case !behind:
		f.BehindUntil = time.Time{}
	case f.BehindUntil.IsZero():
		f.BehindUntil = n.now.Add(versioner.FetchPeriod)
	}
	n.heardMajority(n.view.Majority(n.now))
	if n.state == gossiper.Starting && (!behind || n.Managed != nil) && n.mayStart() {
		n.state = gossiper.Alive
	}
	n.view.Update(n.now, n.state, version, len(n.requests), !n.fresh())
	n.reportChanges()
	if behind && n.Managed != nil {
		n.readNewer()
	}
}

func (n *Node) heardMajority(m gossiper.Majority) {
	if m.At.After(n.members.majority.At) {
		n.members.majority = m
		n.config.fresh.PeersAt = m.At
	}
}

// mayStart reports whether a starting entry has the current configuration: from
// the log's tail, or from peers while it hears a majority of which it is no part.
func (n *Node) mayStart() bool {
	if n.Managed != nil {
		return n.follow.complete()
	}
	f := n.config.fresh
	return f.Fresh(n.now) && (!f.LogAt.IsZero() || n.config.log.Configured())
}

// refusal returns why the entry accepts no new work, OK if it does.
func (n *Node) refusal() classifier.Code {
	switch {
	case n.stop.phase >= PhaseDraining:
		return classifier.EntryStopping
	case n.state == gossiper.Starting:
		return classifier.NotConfigured
	case !n.fresh():
		return classifier.EntryStale
	default:
		return classifier.OK
	}
}

// fresh reports whether the entry has evidence that its version is current. A
// managed entry needs none: it serves by the last version while the store is away.
func (n *Node) fresh() bool { return n.Managed != nil || n.config.fresh.Fresh(n.now) }

func (n *Node) listHosts() {
	n.emit(ListHosts{Deadline: n.now.Add(listPatience)})
	interval := max(listInterval, listIntervalPerHost*time.Duration(n.members.listed))
	n.after(n.now.Add(interval), n.listHosts)
}

func (n *Node) hostsListed(ev HostsListed) {
	var list []gossiper.Listing
	for _, h := range ev.Hosts {
		if h.Role == entryRole {
			list = append(list, gossiper.Listing{Name: h.Name, Address: h.Address, DataCentre: h.DataCentre, Leaving: h.Leaving})
		}
	}
	n.members.listed = len(ev.Hosts)
	n.view.Listed(n.now, list)
}

// reportChanges puts changes of members onto the audit trail. The entry itself
// reports its own ones, since all others may hear of them at different times.
func (n *Node) reportChanges() {
	for _, c := range n.view.Changes() {
		e := auditor.Entry{Actor: c.Name, Action: "Member" + c.State.String(), Subject: c.Name, Cause: "announced", Version: n.Config().Version}
		if c.Name == n.Name {
			n.audit(e)
		}
	}
}

// disconnectSilent ends the connections to entries that fell silent, once for
// each silence. The entry may live and only the connection be silent.
func (n *Node) disconnectSilent() {
	for e := range n.view.All() {
		last := n.members.disconnected[e.Name]
		if e.Name == n.Name || e.HeardAt.IsZero() || !e.Suspected(n.now) || last.Equal(e.HeardAt) {
			continue
		}
		n.members.disconnected[e.Name] = e.HeardAt
		n.emit(Disconnect{Peer: e.Name})
	}
}

// reportSilent puts entries that fell silent, and those that came back, onto the audit trail.
func (n *Node) reportSilent() {
	before := n.now.Add(-silencePeriod)
	if n.members.resumedAt.After(before) {
		return
	}
	for e := range n.view.All() {
		if e.Name == n.Name || e.HeardAt.IsZero() {
			continue
		}
		reported := n.members.silent[e.Name] == e.Incarnation
		silent := e.State != gossiper.Stopped && e.HeardAt.Before(before)
		version := n.Config().Version
		switch {
		case silent && !reported:
			n.members.silent[e.Name] = e.Incarnation
			n.auditShared(auditor.Entry{Actor: n.Name, Action: "MemberSilent", Subject: e.Name, Cause: "no sign of life", Version: version})
		case !silent && reported:
			delete(n.members.silent, e.Name)
			n.auditShared(auditor.Entry{Actor: n.Name, Action: "MemberBack", Subject: e.Name, Cause: "heard again", Version: version})
		}
	}
}
