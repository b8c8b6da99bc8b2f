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
	// unconfiguredGossipInterval applies to a managed entry that has no
	// configuration yet. It is short because the peers that could send the
	// configuration may be about to stop.
	unconfiguredGossipInterval = 200 * time.Millisecond
	hostListInterval           = 5 * time.Second
	// hostListIntervalPerHost limits the traffic of host list reads, at about 100
	// bytes a line, to about 0.3 KB/s.
	hostListIntervalPerHost = 300 * time.Millisecond
	hostListTimeout         = 3 * time.Second
	// entryRole is the role of entries on the host list.
	entryRole = "Entry"
	// silenceAuditDelay is how long an entry must be silent before that is written
	// to the audit trail. Shorter silences are frequent with many entries.
	silenceAuditDelay = 10 * time.Second
	// pauseThreshold is the delay of a timer above which the process is assumed to
	// have been paused.
	pauseThreshold = time.Second
)

// membership holds the node's state for the membership exchanges.
type membership struct {
	nextGossipAt time.Time
	// majority is the newest evidence from a majority of entries.
	majority gossiper.Majority
	// resumedAt is when the process last resumed after a pause.
	resumedAt time.Time
	// listedHosts is the number of lines of the last host list.
	listedHosts int
	// reportedSilent holds, by entry, the incarnation whose silence was written to the audit trail.
	reportedSilent map[string]uint64
	// disconnected holds, by entry, when it was last heard before its connection was closed.
	disconnected map[string]time.Time
}

// gossip starts the next round of exchanges.
func (n *Node) gossip() {
	m := &n.members
	if n.now.After(m.nextGossipAt.Add(pauseThreshold)) {
		m.resumedAt = n.now
	}
	unconfigured := n.Managed != nil && !n.follow.complete()
	m.nextGossipAt = n.now.Add(gossipInterval)
	if unconfigured {
		m.nextGossipAt = n.now.Add(unconfiguredGossipInterval)
	}
	n.runAt(m.nextGossipAt, n.gossip)
	n.view.Forget(n.now)
	n.refresh()
	if n.Managed != nil {
		n.shareRates()
	}
	n.disconnectSilent()
	for _, t := range n.view.NextTargets(n.now, n.random) {
		n.startExchange(t)
	}
	if n.Managed == nil {
		n.fetchNewerConfig()
		n.settlePatches()
		n.confirmPatches()
	}
	if unconfigured {
		n.exchangeWithSeeds()
		n.requestStoreCopy()
	}
	n.auditSilentMembers()
}

func (n *Node) exchangeFacts() gossiper.Facts {
	return gossiper.Facts{Next: n.config.log.FoldedOffset(), LogAt: n.config.freshness.LogAt, Majority: n.members.majority}
}

func (n *Node) startExchange(t gossiper.Target) {
	m := n.view.Compose(n.now, gossiper.Ask, t.Name, 0, n.exchangeFacts(), n.random)
	if t.Name == "" {
		m.Profile = n.view.Profile()
	}
	n.emit(Send{To: t.Name, Incarnation: t.Incarnation, Address: t.Address, Message: Exchange{m}})
}

// exchangeWithSeeds starts an exchange with each seed address at which no entry is known yet.
func (n *Node) exchangeWithSeeds() {
	for _, a := range n.view.UnresolvedSeeds() {
		n.startExchange(gossiper.Target{Address: a})
	}
}

// exchangeWithAll starts an exchange with every responsive entry, so that a new
// state spreads at once.
func (n *Node) exchangeWithAll() {
	for _, e := range n.view.Entries() {
		if n.responsive(e) {
			n.startExchange(gossiper.Target{Name: e.Name, Incarnation: e.Incarnation, Address: e.PeerAddress})
		}
	}
}

func (n *Node) responsive(e gossiper.Entry) bool {
	return e.Name != n.Name && e.State != gossiper.Stopped && e.Incarnation != 0 && !n.view.Suspected(n.now, e)
}

func (n *Node) exchangeReceived(from string, m Exchange) {
	n.view.MergeMessage(n.now, m.Exchange)
	if n.Managed != nil {
		n.refresh()
		n.respond(from, m)
		n.acknowledged(from, m.You)
		return
	}
	n.foldPeerRecords(m.Records)
	if n.config.log.FoldedOffset() >= m.Next {
		n.config.freshness.LogAt = later(n.config.freshness.LogAt, n.view.LogAt(m.Exchange))
	}
	n.updateMajority(n.view.MajorityAt(m.Exchange))
	n.refresh()
	n.respond(from, m)
	n.acknowledged(from, m.You)
	n.fetchNewerConfig()
	n.settlePatches()
}

func (n *Node) respond(from string, m Exchange) {
	step := gossiper.Reply
	switch m.Step {
	case gossiper.Reply:
		step = gossiper.Close
	case gossiper.Close:
		if n.Managed != nil && len(m.Wanted) > 0 {
			n.send(from, Exchange{n.view.ComposeProfiles(m.Wanted)})
		}
		return
	}
	out := n.view.Compose(n.now, step, from, m.Sequence, n.exchangeFacts(), n.random)
	if m.Step == gossiper.Ask && m.Profile.Name != "" {
		out.Profile = n.view.Profile()
	}
	out.Profiles = n.view.Profiles(m.Wanted)
	if n.Managed == nil {
		out.Records = n.missingRecords(m.Next)
	}
	n.send(from, Exchange{out})
}

// refresh updates the node's own row in the view and its evidence.
func (n *Node) refresh() {
	version := n.Config().Version
	f := &n.config.freshness
	behind := n.view.NewestVersion() > version
	switch {
	case !behind:
		f.BehindUntil = time.Time{}
	case f.BehindUntil.IsZero():
		f.BehindUntil = n.now.Add(versioner.FetchTimeout)
	}
	n.updateMajority(n.view.Majority(n.now))
	if n.state == gossiper.Starting && (!behind || n.Managed != nil) && n.hasCurrentConfig() {
		n.state = gossiper.Alive
	}
	n.view.Update(n.now, n.state, version, len(n.requests), !n.configFresh())
	n.auditMemberChanges()
	if behind && n.Managed != nil {
		n.rereadDocument()
	}
}

func (n *Node) updateMajority(m gossiper.Majority) {
	if m.At.After(n.members.majority.At) {
		n.members.majority = m
		n.config.freshness.PeersAt = m.At
	}
}

// hasCurrentConfig reports whether a starting entry has the current configuration:
// from the tail of the log, or from peers while it hears from a majority that does
// not include itself.
func (n *Node) hasCurrentConfig() bool {
	if n.Managed != nil {
		return n.follow.complete()
	}
	f := n.config.freshness
	return f.Fresh(n.now) && (!f.LogAt.IsZero() || n.config.log.Configured())
}

// admissionCode returns the code with which the entry refuses new work, OK if it accepts it.
func (n *Node) admissionCode() classifier.Code {
	switch {
	case n.stop.phase >= PhaseDraining:
		return classifier.EntryStopping
	case n.state == gossiper.Starting:
		return classifier.NotConfigured
	case !n.configFresh():
		return classifier.EntryStale
	default:
		return classifier.OK
	}
}

// configFresh reports whether the entry has evidence that its configuration version
// is current. A managed entry needs none: it serves with the last version while the
// store is unreachable.
func (n *Node) configFresh() bool { return n.Managed != nil || n.config.freshness.Fresh(n.now) }

func (n *Node) listHosts() {
	n.emit(ListHosts{Deadline: n.now.Add(hostListTimeout)})
	interval := max(hostListInterval, hostListIntervalPerHost*time.Duration(n.members.listedHosts))
	n.runAt(n.now.Add(interval), n.listHosts)
}

func (n *Node) hostsListed(ev HostsListed) {
	var list []gossiper.Listing
	for _, h := range ev.Hosts {
		if h.Role == entryRole {
			list = append(list, gossiper.Listing{Name: h.Name, Address: h.Address, DataCentre: h.DataCentre, Leaving: h.Leaving})
		}
	}
	n.members.listedHosts = len(ev.Hosts)
	n.view.ApplyHostList(n.now, list)
}

// auditMemberChanges writes the state changes of this entry to the audit trail.
// Each entry reports only its own, since the others may learn of them at different
// times.
func (n *Node) auditMemberChanges() {
	for _, c := range n.view.Changes() {
		e := auditor.Entry{Actor: c.Name, Action: "Member" + c.State.String(), Subject: c.Name, Cause: "announced", Version: n.Config().Version}
		if c.Name == n.Name {
			n.audit(e)
		}
	}
}

// disconnectSilent closes the connection to each entry that has become silent, once
// per silence. The entry may still be running and only the connection be silent.
func (n *Node) disconnectSilent() {
	for e := range n.view.All() {
		last := n.members.disconnected[e.Name]
		if e.Name == n.Name || e.HeardAt.IsZero() || !n.view.Suspected(n.now, e) || last.Equal(e.HeardAt) {
			continue
		}
		n.members.disconnected[e.Name] = e.HeardAt
		n.emit(Disconnect{Peer: e.Name})
	}
}

// auditSilentMembers writes to the audit trail which entries have become silent and
// which are heard again.
func (n *Node) auditSilentMembers() {
	cutoff := n.now.Add(-silenceAuditDelay)
	if n.members.resumedAt.After(cutoff) {
		return
	}
	for e := range n.view.All() {
		if e.Name == n.Name || e.HeardAt.IsZero() {
			continue
		}
		reported := n.members.reportedSilent[e.Name] == e.Incarnation
		silent := e.State != gossiper.Stopped && e.HeardAt.Before(cutoff)
		version := n.Config().Version
		switch {
		case silent && !reported:
			n.members.reportedSilent[e.Name] = e.Incarnation
			n.auditShared(auditor.Entry{Actor: n.Name, Action: "MemberSilent", Subject: e.Name, Cause: "no sign of life", Version: version})
		case !silent && reported:
			delete(n.members.reportedSilent, e.Name)
			n.auditShared(auditor.Entry{Actor: n.Name, Action: "MemberBack", Subject: e.Name, Cause: "heard again", Version: version})
		}
	}
}
