package reducer_test

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azuretrestle/azuretrestle/internal/balancer"
	"github.com/azuretrestle/azuretrestle/internal/gossiper"
	"github.com/azuretrestle/azuretrestle/internal/reducer"
	"github.com/azuretrestle/azuretrestle/internal/registrar"
	"github.com/azuretrestle/azuretrestle/internal/router"
	"github.com/azuretrestle/azuretrestle/pkg/classifier"
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
	// effects are those of the last step.
	effects []reducer.Effect
	timer   time.Time
}

func newManaged(t *testing.T) *managed {
	t.Helper()
	m := &managed{t: t, now: time.Unix(1000, 0), reads: make(map[reducer.Topic]reducer.ReadStore)}
	m.node = reducer.New(reducer.Options{Name: "e1", Incarnation: 1, DataCentre: "a", Seed: 1, Managed: &reducer.Managed{
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
		Services: []registrar.Service{{Name: "tickets", HealthPath: "/h", Connections: 60}},
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

// TestFollow guards against an entry that serves before it has all of its
// configuration, or does not read on.
func TestFollow(t *testing.T) {
	is := is.New(t)
	m := newManaged(t)
	is.True(m.reads[reducer.TopicDocument].Whole)
	is.True(m.reads[reducer.TopicUpstreams].Whole)
	is.True(!m.node.Ready())
	m.read(reducer.TopicDocument, 7, managedDocument(2, patcher.Idempotent))
	is.True(!m.node.Ready())
	m.advance(time.Second)
	is.Equal(m.reads[reducer.TopicDocument].From, uint64(7))
	m.read(reducer.TopicUpstreams, 5, managedUpstream("u1", 1, false))
	is.True(m.node.Ready())
	m.advance(time.Second)
	is.Equal(m.reads[reducer.TopicUpstreams].From, uint64(5))
	m.read(reducer.TopicDocument, 8, reducer.UnreadableFact{Name: "config", Problem: "cut short"})
	is.Equal(m.node.Config().Version, uint64(2))
	m.read(reducer.TopicDocument, 9, managedDocument(1, patcher.Idempotent))
	is.Equal(m.node.Config().Version, uint64(2))
}

// TestStoreOutage guards against an entry that refuses work while the store is
// away, or does not read on after it.
func TestStoreOutage(t *testing.T) {
	is := is.New(t)
	m := newManaged(t)
	m.serve(patcher.Idempotent, "u1", "u2")
	for range 4 {
		m.advance(time.Second)
		m.fail(reducer.TopicUpstreams, false)
	}
	is.True(m.node.Ready())
	m.request(1, time.Second)
	_, refused := find[reducer.Refuse](m)
	is.True(!refused)
	m.advance(time.Second)
	m.read(reducer.TopicUpstreams, 6)
	m.advance(time.Second)
	is.Equal(m.reads[reducer.TopicUpstreams].From, uint64(6))
}

// TestPeerVersion guards against an entry that stays on an old version because
// its read is never answered, although its peers have a newer one.
func TestPeerVersion(t *testing.T) {
	is := is.New(t)
	m := newManaged(t)
	m.serve(patcher.Idempotent, "u1")
	m.advance(900 * time.Millisecond)
	waiting := m.reads[reducer.TopicDocument].ID // not answered
	m.join("e2", 9)
	m.advance(time.Second)
	is.True(m.reads[reducer.TopicDocument].ID > waiting)
	m.read(reducer.TopicDocument, 2, managedDocument(9, patcher.Idempotent))
	is.Equal(m.node.Config().Version, uint64(9))
}

// TestCopies guards against entries that all read the store, and against one
// that relies on copies which have ended or miss records.
func TestCopies(t *testing.T) {
	is := is.New(t)
	m := newManaged(t)
	m.serve(patcher.Idempotent, "u1")
	m.join("e0", 1)
	m.read(reducer.TopicUpstreams, 5)
	read := m.reads[reducer.TopicUpstreams].ID
	offset := uint64(5)
	for range 6 {
		m.from(reducer.StoreCopy{Topic: reducer.TopicUpstreams, From: offset, Next: offset + 1})
		offset++
		m.advance(500 * time.Millisecond)
	}
	is.Equal(m.reads[reducer.TopicUpstreams].ID, read)
	m.from(reducer.StoreCopy{
		Topic: reducer.TopicUpstreams, From: offset, Next: offset + 4,
		Registrations: []reducer.RegistrationFact{managedUpstream("u2", 1, false), managedUpstream("u1", 2, false)},
		Removed:       []reducer.RemovedCopy{{Name: "u1", After: 1}, {Name: "u2", After: 2}},
	})
	is.Equal(len(m.node.Upstreams("tickets")), 1)
	is.Equal(m.node.Upstreams("tickets")[0].Name, "u1")
	m.advance(1300 * time.Millisecond)
	is.Equal(m.reads[reducer.TopicUpstreams].From, offset+4) // copies have ended
	m.read(reducer.TopicUpstreams, offset+4)
	m.from(reducer.StoreCopy{Topic: reducer.TopicUpstreams, From: offset + 9, Next: offset + 9})
	s, asked := find[reducer.Send](m)
	is.True(asked) // records are missing
	is.Equal(s.Message, reducer.StoreRequest{})
	m.from(reducer.StoreCopy{Topic: reducer.TopicUpstreams, Whole: true, Next: offset + 9, Registrations: []reducer.RegistrationFact{managedUpstream("u7", 1, false)}})
	is.Equal(len(m.node.Upstreams("tickets")), 1) // u1 has left meanwhile
	is.Equal(m.node.Upstreams("tickets")[0].Name, "u7")
}

// TestStartInOutage guards against an entry that can't serve because it starts
// while the store is away, although its peers have all that it needs.
func TestStartInOutage(t *testing.T) {
	is := is.New(t)
	running := newManaged(t)
	running.serve(patcher.Idempotent, "u1", "u2")
	running.join("e2", 1)
	m := newManaged(t)
	m.fail(reducer.TopicDocument, false)
	m.fail(reducer.TopicUpstreams, false)
	m.join("e0", 1)
	requested := false
	for _, e := range m.sent {
		_, ok := e.Message.(reducer.StoreRequest)
		requested = requested || ok
	}
	is.True(requested)
	running.from(reducer.StoreRequest{})
	for _, e := range running.effects {
		if s, ok := e.(reducer.Send); ok {
			m.from(s.Message)
		}
	}
	is.True(m.node.Ready())
	is.Equal(m.node.Config().Version, uint64(1))
	is.Equal(len(m.node.Upstreams("tickets")), 2)
	m.fail(reducer.TopicDocument, false)
	m.fail(reducer.TopicUpstreams, false)
	m.advance(3 * time.Second)
	is.Equal(m.reads[reducer.TopicDocument].From, uint64(1))
	is.Equal(m.reads[reducer.TopicUpstreams].From, uint64(5))
}

// TestShareRead guards against copies that lack a change or carry heartbeats.
func TestShareRead(t *testing.T) {
	is := is.New(t)
	m := newManaged(t)
	m.serve(patcher.Idempotent, "u1", "u2")
	m.join("e2", 1)
	m.read(reducer.TopicUpstreams, 8, managedUpstream("u1", 2, false), reducer.RemovalFact{Name: "u2"}, managedUpstream("u3", 1, false))
	s, ok := find[reducer.Send](m)
	is.True(ok)
	is.Equal(s.To, "e2")
	is.Equal(s.Message, reducer.StoreCopy{
		Topic: reducer.TopicUpstreams, From: 5, Next: 8,
		Registrations: []reducer.RegistrationFact{managedUpstream("u3", 1, false)}, Removed: []reducer.RemovedCopy{{Name: "u2"}},
	})
}

// TestLargeDocument guards against copies of a large document to each entry,
// which hold up versions on thin links.
func TestLargeDocument(t *testing.T) {
	is := is.New(t)
	m := newManaged(t)
	m.serve(patcher.Idempotent, "u1")
	m.join("e2", 1)
	large := managedDocument(2, patcher.Idempotent)
	for range 500 {
		large.Routes = append(large.Routes, large.Routes[0])
	}
	m.read(reducer.TopicDocument, 2, large)
	s, ok := find[reducer.Send](m)
	is.True(ok)
	is.Equal(s.Message, reducer.StoreCopy{Topic: reducer.TopicDocument, From: 2, Next: 2, Skipped: true})
	m.from(reducer.StoreCopy{Topic: reducer.TopicDocument, From: 3, Next: 3, Skipped: true})
	r, reads := find[reducer.ReadStore](m)
	is.True(reads)
	is.Equal(r.From, uint64(2))
}

// TestStaleListing guards against records that are missed because a listing was
// older than the offset that came with it, and against reading lists for ever
// when the records behind it have expired.
func TestStaleListing(t *testing.T) {
	is := is.New(t)
	m := newManaged(t)
	r := m.reads[reducer.TopicDocument]
	m.step(reducer.StoreRead{Stamp: m.stamp(), ID: r.ID, Topic: r.Topic, Whole: true, Next: 5, End: 9})
	m.advance(time.Second)
	is.Equal(m.reads[reducer.TopicDocument].From, uint64(5))
	m.fail(reducer.TopicDocument, true)
	is.Equal(m.reads[reducer.TopicDocument].From, uint64(9))
	is.True(!m.reads[reducer.TopicDocument].Whole)
	m.fail(reducer.TopicDocument, true)
	is.True(m.reads[reducer.TopicDocument].Whole)
}

// TestManagedDrain guards against new work for an upstream that leaves.
func TestManagedDrain(t *testing.T) {
	is := is.New(t)
	m := newManaged(t)
	m.serve(patcher.Idempotent, "u1")
	m.advance(time.Second)
	m.read(reducer.TopicUpstreams, 6, managedUpstream("u1", 2, true))
	m.request(1, time.Second)
	_, dispatched := find[reducer.Dispatch](m)
	_, probed := find[reducer.Probe](m)
	is.True(!dispatched && !probed)
}

// TestScreen guards against a request that is sent to an upstream which a probe found slow or full.
func TestScreen(t *testing.T) {
	for _, c := range []struct {
		name   string
		report *balancer.Report
		ok     bool
		sent   bool
	}{
		{"usual pace", &balancer.Report{Pace: 1}, true, true},
		{"slow", &balancer.Report{Pace: 5}, true, false},
		{"full", &balancer.Report{Pace: 1, InFlight: 4}, true, false},
		{"no answer", nil, false, false},
		{"tells no load", nil, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m := newManaged(t)
			m.serve(patcher.Unrepeatable, "u1", "u2")
			m.request(1, time.Second)
			p, ok := find[reducer.Probe](m)
			is.True(ok)
			is.Equal(p.Path, "/h")
			m.step(reducer.ProbeAnswered{Stamp: m.stamp(), Request: p.Request, Service: p.Service, Upstream: p.Upstream, OK: c.ok, Report: c.report})
			d, sent := find[reducer.Dispatch](m)
			is.Equal(sent, c.sent)
			if sent {
				is.Equal(d.Upstream, p.Upstream)
				return
			}
			next, ok := find[reducer.Probe](m)
			is.True(ok)
			is.True(next.Upstream != p.Upstream)
		})
	}
}

// TestScreenEnds guards against requests that stay behind when their caller
// leaves or their time ends during a probe.
func TestScreenEnds(t *testing.T) {
	is := is.New(t)
	m := newManaged(t)
	m.serve(patcher.Idempotent, "u1")
	m.request(1, time.Second)
	p, _ := find[reducer.Probe](m)
	m.step(reducer.CallerGone{Stamp: m.stamp(), ID: 1})
	m.step(reducer.ProbeAnswered{Stamp: m.stamp(), Request: 1, Service: p.Service, Upstream: p.Upstream, OK: true, Report: &balancer.Report{Pace: 1}})
	_, sent := find[reducer.Dispatch](m)
	is.True(!sent)
	m.advance(50 * time.Millisecond) // the report is no longer fresh
	m.request(2, 100*time.Millisecond)
	m.advance(100 * time.Millisecond)
	r, refused := find[reducer.Refuse](m)
	is.True(refused)
	is.Equal(r.Outcome, classifier.OutcomeNotRun)
	is.Equal(m.node.Upstreams("tickets")[0].InFlight, 0)
}

// TestUnrepeatable guards against a second run of what must run at most once,
// and against giving up what certainly did not run.
func TestUnrepeatable(t *testing.T) {
	for _, c := range []struct {
		name  string
		sent  bool
		again bool
	}{
		{"may have run", true, false},
		{"no byte left", false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m := newManaged(t)
			m.serve(patcher.Unrepeatable, "u1", "u2")
			m.request(1, time.Second)
			p, _ := find[reducer.Probe](m)
			m.step(reducer.ProbeAnswered{Stamp: m.stamp(), Request: 1, Service: p.Service, Upstream: p.Upstream, OK: true, Report: &balancer.Report{Pace: 1}})
			d, ok := find[reducer.Dispatch](m)
			is.True(ok)
			m.step(reducer.AttemptFailed{Stamp: m.stamp(), Attempt: d.Attempt, Failure: balancer.FailureLost, Sent: c.sent})
			_, probed := find[reducer.Probe](m)
			is.Equal(probed, c.again)
			r, refused := find[reducer.Refuse](m)
			is.Equal(refused, !c.again)
			if refused {
				is.Equal(r.Outcome, classifier.OutcomeUnknown)
			}
		})
	}
}

// TestManagedBudget guards against more repeats than the operator allows, also
// when upstreams turn every attempt away.
func TestManagedBudget(t *testing.T) {
	is := is.New(t)
	m := newManaged(t)
	m.serve(patcher.Idempotent, "u1", "u2", "u3")
	const requests = 400
	arrivals := 0
	for id := range requests {
		m.request(reducer.RequestID(id+1), time.Second)
		arrivals += m.refuseAll()
		m.advance(25 * time.Millisecond)
		arrivals += m.refuseAll()
	}
	is.True(arrivals >= requests/2)
	is.True(float64(arrivals-requests) <= 0.2*requests+60.0/6)
}

// TestBudgetAtStart guards against entries that each spend the whole slack of
// repeats before they know of each other.
func TestBudgetAtStart(t *testing.T) {
	is := is.New(t)
	m := newManaged(t)
	m.serve(patcher.Idempotent, "u1", "u2", "u3")
	const requests = 10
	arrivals := 0
	for id := range requests {
		m.request(reducer.RequestID(id+1), time.Second)
		arrivals += m.refuseAll()
	}
	is.True(arrivals <= requests+2)
}

// refuseAll answers probes well and attempts as not run; it returns the number of attempts.
func (m *managed) refuseAll() int {
	arrivals := 0
	for work := m.effects; len(work) > 0; work = m.effects {
		m.effects = nil
		var next []reducer.Effect
		for _, e := range work {
			switch e := e.(type) {
			case reducer.Probe:
				m.step(reducer.ProbeAnswered{Stamp: m.stamp(), Request: e.Request, Service: e.Service, Upstream: e.Upstream, OK: true, Report: &balancer.Report{Pace: 1}})
				next = append(next, m.effects...)
			case reducer.Dispatch:
				arrivals++
				m.step(reducer.UpstreamAnswered{Stamp: m.stamp(), Attempt: e.Attempt, Status: 503, NotRun: true, Whole: true})
				next = append(next, m.effects...)
			}
		}
		m.effects = next
	}
	return arrivals
}

// TestSpan guards against first attempts that count as repeats, since callers
// are not equally patient, and repeats that count as first attempts.
func TestSpan(t *testing.T) {
	is := is.New(t)
	m := newManaged(t)
	m.serve(patcher.Idempotent)
	m.request(1, 2500*time.Millisecond)
	for _, c := range []struct {
		left    time.Duration
		refused bool
	}{{2200 * time.Millisecond, false}, {1700 * time.Millisecond, true}} {
		m.request(reducer.RequestID(c.left), c.left)
		_, refused := find[reducer.Refuse](m)
		is.Equal(refused, c.refused)
	}
}
