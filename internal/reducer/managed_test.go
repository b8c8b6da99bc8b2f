package reducer_test

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/azuretrestle/azuretrestle/internal/gossiper"
	"github.com/azuretrestle/azuretrestle/internal/reducer"
	"github.com/azuretrestle/azuretrestle/internal/registrar"
	"github.com/azuretrestle/azuretrestle/internal/router"
	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

// managed is a managed node with a clock of its own.
type managed struct {
	t    *testing.T
	node *reducer.Node
	now  time.Time
	// peer is another entry that answers exchanges, nil if there is none.
	peer *gossiper.View
	// reads holds the last read of each topic.
	reads map[reducer.Topic]reducer.ReadStore
	// sent holds all messages to peers.
	sent []reducer.Send
	// disconnected names the peers whose connections were ended.
	disconnected []string
	// effects are those of the last step.
	effects []reducer.Effect
	timer   time.Time
}

func newManaged(t *testing.T, seeds ...netip.AddrPort) *managed {
	t.Helper()
	m := &managed{t: t, now: time.Unix(1000, 0), reads: make(map[reducer.Topic]reducer.ReadStore)}
	m.node = reducer.New(reducer.Options{Name: "e1", Incarnation: 1, DataCentre: "a", Seed: 1, Peers: seeds, Managed: &reducer.Managed{
		AnswerPeriod: time.Second, RepeatRatio: 0.2, RepeatSlack: 60, ProbeRate: 60,
	}})
	m.take(m.node.Start(m.now))
	return m
}

func (m *managed) take(effects []reducer.Effect) {
	m.effects = effects
	for _, e := range effects {
		switch e := e.(type) {
		case reducer.ReadStore:
			m.reads[e.Topic] = e
		case reducer.SetTimer:
			m.timer = e.Deadline
		case reducer.Disconnect:
			m.disconnected = append(m.disconnected, e.Peer)
		case reducer.Send:
			m.sent = append(m.sent, e)
			m.reply(e)
		}
	}
}

// join makes another entry known, which answers exchanges from then on.
func (m *managed) join(name string, version uint64) {
	m.peer = gossiper.NewView(gossiper.Entry{Name: name, Incarnation: 1, PeerAddress: netip.MustParseAddrPort("10.0.0.2:1")})
	m.peer.Update(m.now, gossiper.Alive, version, 0, false)
	m.tell(gossiper.Ask, 0)
	m.advance(time.Second)
}

// reply lets the peer answer an exchange.
func (m *managed) reply(s reducer.Send) {
	x, ok := s.Message.(reducer.Exchange)
	if !ok || m.peer == nil || x.Step != gossiper.Ask {
		return
	}
	kept := m.effects
	m.tell(gossiper.Reply, x.Sequence)
	m.effects = kept
}

func (m *managed) tell(step gossiper.Step, echo uint32) {
	self := m.peer.Self()
	m.peer.Update(m.now, gossiper.Alive, self.Version, 0, false)
	x := m.peer.Compose(m.now, step, "e1", echo, gossiper.Facts{}, rand.New(rand.NewPCG(1, 1)))
	x.Profile = m.peer.Profile()
	m.from(reducer.Exchange{Exchange: x})
}

// from delivers a message of the peer.
func (m *managed) from(msg reducer.PeerMessage) {
	m.step(reducer.PeerMessageReceived{Stamp: m.stamp(), From: m.peer.Self().Name, FromIncarnation: 1, Message: msg})
}

func (m *managed) step(ev reducer.Event) { m.take(m.node.Step(ev)) }

func (m *managed) stamp() reducer.Stamp { return reducer.Stamp{Now: m.now} }

// advance lets time pass with its timers.
func (m *managed) advance(d time.Duration) {
	for end := m.now.Add(d); ; {
		if m.timer.IsZero() || m.timer.After(end) {
			m.now = end
			return
		}
		m.now = m.timer
		m.timer = time.Time{}
		m.step(reducer.TimerFired{Stamp: m.stamp()})
	}
}

// read answers the read of a topic that is in progress.
func (m *managed) read(t reducer.Topic, next uint64, facts ...reducer.Fact) {
	r := m.reads[t]
	m.step(reducer.StoreRead{Stamp: m.stamp(), ID: r.ID, Topic: t, Whole: r.Whole, Facts: facts, Next: next, End: next})
}

func (m *managed) fail(t reducer.Topic, expired bool) {
	m.step(reducer.StoreFailed{Stamp: m.stamp(), ID: m.reads[t].ID, Topic: t, Expired: expired, Problem: "test"})
}

// find returns the last effect of a type.
func find[E reducer.Effect](m *managed) (E, bool) {
	var out E
	found := false
	for _, e := range m.effects {
		if e, ok := e.(E); ok {
			out, found = e, true
		}
	}
	return out, found
}

func managedDocument(version uint64, kind patcher.Kind) reducer.DocumentFact {
	return reducer.DocumentFact{Document: registrar.Document{
		Version:  version,
		Services: []registrar.Service{{Name: "tickets", ProbePath: "/h", Connections: 60}},
		Routes: []router.Route{{
			Name: "r", Host: "h", Prefix: "/", Shares: []router.Share{{Service: "tickets", Weight: 1}},
			Rank: patcher.Rank{
				Name: "k", Kind: kind, Target: patcher.Period{Duration: 300 * time.Millisecond},
				Patience: patcher.Period{Duration: time.Second}, MaxQueue: 100, Attempts: 2,
			},
		}},
	}}
}

func managedUpstream(name string, sequence int64, draining bool) reducer.RegistrationFact {
	return reducer.RegistrationFact{Registration: registrar.Registration{
		Name: name, Service: "tickets", Address: netip.MustParseAddrPort("10.0.0.1:80"), Slots: 4, Sequence: sequence, Draining: draining,
	}}
}

// serve brings a node up with the named upstreams.
func (m *managed) serve(kind patcher.Kind, upstreams ...string) {
	var facts []reducer.Fact
	for _, u := range upstreams {
		facts = append(facts, managedUpstream(u, 1, false))
	}
	m.read(reducer.TopicDocument, 1, managedDocument(1, kind))
	m.read(reducer.TopicUpstreams, 5, facts...)
}

func (m *managed) request(id reducer.RequestID, left time.Duration) {
	m.step(reducer.RequestArrived{
		Stamp: m.stamp(), ID: id, Service: "tickets", Rank: "k", Route: "r", Deadline: m.now.Add(left), Replayable: true,
	})
}
