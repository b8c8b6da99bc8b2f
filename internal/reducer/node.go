package reducer

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/azuretrestle/azuretrestle/internal/gossiper"
	"github.com/azuretrestle/azuretrestle/internal/versioner"
	"github.com/azuretrestle/azuretrestle/pkg/classifier"
	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

// Options configures a node.
type Options struct {
	// Name identifies the entry across incarnations.
	Name string
	// Incarnation grows with each start of the process.
	Incarnation uint64
	// PeerAddress is the address for other entries.
	PeerAddress netip.AddrPort
	// CallerAddress is the address for callers.
	CallerAddress netip.AddrPort
	DataCentre    string
	// Seed seeds the node's random number generator.
	Seed uint64
	// Peers are the seeds: the peer addresses to contact first.
	Peers []netip.AddrPort
	// LogRetention is how long the log keeps records; 0 means 24 hours.
	LogRetention time.Duration
	// Managed is set if the configuration is kept in an external store and only
	// read; patches are then refused.
	Managed *Managed
}

// Node is the state of one entry.
type Node struct {
	Options
	now      time.Time
	random   *rand.Rand
	effects  []Effect
	timers   timers
	services map[string]*service
	requests map[RequestID]*request
	config   configuration
	view     *gossiper.View
	once     onceOnly
	state    gossiper.State
	members  membership
	stop     stopState
	follow   storeFollower
	auditState
}

// New returns a node that has not started; Start returns its first effects.
func New(o Options) *Node {
	self := gossiper.Entry{
		Name: o.Name, Incarnation: o.Incarnation, PeerAddress: o.PeerAddress,
		CallerAddress: o.CallerAddress, DataCentre: o.DataCentre,
	}
	view := gossiper.NewView(self, o.Peers...)
	if o.Managed != nil {
		view.AllowEarlierIncarnations()
		view.DisableEvidence()
	}
	return &Node{
		Options:  o,
		view:     view,
		random:   rand.New(rand.NewPCG(o.Seed, o.Incarnation)),
		services: make(map[string]*service),
		requests: make(map[RequestID]*request),
		once:     newOnceOnly(o),
		config:   configuration{log: versioner.NewLog(), patches: make(map[string]*submission)},
		members:  membership{reportedSilent: make(map[string]uint64), disconnected: make(map[string]time.Time)},
		follow:   newStoreFollower(),
	}
}

// Start starts the node and returns its first effects.
func (n *Node) Start(now time.Time) []Effect {
	n.now = now
	n.view.SetStarted(now)
	n.members.nextGossipAt = now
	n.members.resumedAt = now
	if n.Managed != nil {
		n.startFollowing()
	} else {
		n.readConfig()
		n.readAudit()
		n.listHosts()
	}
	n.gossip()
	return n.takeEffects()
}

// Step processes one event and returns the effects to carry out.
func (n *Node) Step(ev Event) []Effect {
	n.now = ev.Time()
	n.handle(ev)
	n.runTimers()
	n.advanceStop()
	return n.takeEffects()
}

func (n *Node) handle(ev Event) {
	switch ev := ev.(type) {
	case RequestArrived:
		n.requestArrived(ev)
	case CallerDisconnected:
		n.callerDisconnected(ev)
	case UpstreamAnswered:
		n.upstreamAnswered(ev)
	case UpstreamFinished:
		n.upstreamFinished(ev)
	case AttemptFailed:
		n.attemptFailed(ev)
	case ProbeAnswered:
		n.probeAnswered(ev)
	case UpstreamAnnounced:
		n.upstreamAnnounced(ev)
	case HostsListed:
		n.markLeavingUpstreams(ev)
		n.hostsListed(ev)
	case TimerFired:
		n.timers.armedFor = time.Time{}
	case LogRead:
		n.logRead(ev)
	case LogFailed:
		n.logFailed(ev)
	case AppendFinished:
		n.appendFinished(ev)
	case PatchSubmitted:
		n.patchSubmitted(ev)
	case PeerMessageReceived:
		n.peerMessage(ev)
	case PeerUnreachable:
		n.peerUnreachable(ev)
	case KeysRequested:
		n.keysRequested(ev)
	case EntriesRequested:
		n.entriesRequested(ev)
	case Resumed:
		n.resumed(ev)
	case StopRequested:
		n.stopRequested(ev)
	case StoreRead:
		n.storeRead(ev)
	case StoreFailed:
		n.storeFailed(ev)
	}
}

func (n *Node) runTimers() {
	for {
		t := n.timers.popDue(n.now)
		if t == nil {
			return
		}
		t.fire()
	}
}

func (n *Node) takeEffects() []Effect {
	if deadline, ok := n.timers.next(); ok {
		n.emit(SetTimer{Deadline: deadline})
	}
	out := n.effects
	n.effects = nil
	return out
}

func (n *Node) emit(e Effect) { n.effects = append(n.effects, e) }

// runAt schedules f for the deadline. Stopping the returned timer cancels it.
func (n *Node) runAt(deadline time.Time, f func()) *timer { return n.timers.start(deadline, f) }

// Config returns the configuration in force.
func (n *Node) Config() *patcher.Config {
	if n.Managed != nil {
		return n.follow.config
	}
	return n.config.log.Config()
}

// Rank returns a rank of a service, or the refusal code if there is none.
func (n *Node) Rank(service, rank string) (patcher.Rank, classifier.Code) {
	s, ok := n.services[service]
	if !ok || s.removed {
		return patcher.Rank{}, classifier.UnknownService
	}
	r, ok := s.config.Rank(rank)
	if !ok {
		return patcher.Rank{}, classifier.UnknownRank
	}
	return *r, classifier.OK
}
