package reducer_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azuretrestle/azuretrestle/internal/gossiper"
	"github.com/azuretrestle/azuretrestle/internal/reducer"
	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

// TestStorePolling guards against an entry that serves before it has its whole
// configuration, and against one that stops polling the store.
func TestStorePolling(t *testing.T) {
	is := is.New(t)
	m := newManagedNode(t)
	is.True(m.reads[reducer.TopicDocument].Whole)
	is.True(m.reads[reducer.TopicUpstreams].Whole)
	is.True(!m.node.Ready())
	m.answerRead(reducer.TopicDocument, 7, managedDocument(2, patcher.Idempotent))
	is.True(!m.node.Ready())
	m.advance(time.Second)
	is.Equal(m.reads[reducer.TopicDocument].From, uint64(7))
	m.answerRead(reducer.TopicUpstreams, 5, managedUpstream("u1", 1, false))
	is.True(m.node.Ready())
	m.advance(time.Second)
	is.Equal(m.reads[reducer.TopicUpstreams].From, uint64(5))
	m.answerRead(reducer.TopicDocument, 8, reducer.UnreadableRecord{Name: "config", Problem: "cut short"})
	is.Equal(m.node.Config().Version, uint64(2))
	m.answerRead(reducer.TopicDocument, 9, managedDocument(1, patcher.Idempotent))
	is.Equal(m.node.Config().Version, uint64(2))
}

// TestStoreOutage guards against an entry that refuses work during an outage of
// the store, and against one that does not resume polling afterwards.
func TestStoreOutage(t *testing.T) {
	is := is.New(t)
	m := newManagedNode(t)
	m.startServing(patcher.Idempotent, "u1", "u2")
	for range 4 {
		m.advance(time.Second)
		m.failRead(reducer.TopicUpstreams, false)
	}
	is.True(m.node.Ready())
	m.request(1, time.Second)
	_, refused := lastEffect[reducer.Refuse](m)
	is.True(!refused)
	m.advance(time.Second)
	m.answerRead(reducer.TopicUpstreams, 6)
	m.advance(time.Second)
	is.Equal(m.reads[reducer.TopicUpstreams].From, uint64(6))
}

// TestPeerVersion guards against an entry that keeps an old version because its
// read is never answered, although its peers have a newer one.
func TestPeerVersion(t *testing.T) {
	is := is.New(t)
	m := newManagedNode(t)
	m.startServing(patcher.Idempotent, "u1")
	m.advance(900 * time.Millisecond)
	unanswered := m.reads[reducer.TopicDocument].ID
	m.join("e2", 9)
	m.advance(time.Second)
	is.True(m.reads[reducer.TopicDocument].ID > unanswered)
	m.answerRead(reducer.TopicDocument, 2, managedDocument(9, patcher.Idempotent))
	is.Equal(m.node.Config().Version, uint64(9))
}

// TestStoreCopies guards against every entry polling the store, and against an entry
// that relies on copies that no longer arrive or that lack records.
func TestStoreCopies(t *testing.T) {
	is := is.New(t)
	m := newManagedNode(t)
	m.startServing(patcher.Idempotent, "u1")
	m.join("e0", 1)
	m.answerRead(reducer.TopicUpstreams, 5)
	read := m.reads[reducer.TopicUpstreams].ID
	offset := uint64(5)
	for range 6 {
		m.receive(reducer.StoreCopy{Topic: reducer.TopicUpstreams, From: offset, Next: offset + 1})
		offset++
		m.advance(500 * time.Millisecond)
	}
	is.Equal(m.reads[reducer.TopicUpstreams].ID, read)
	m.receive(reducer.StoreCopy{
		Topic: reducer.TopicUpstreams, From: offset, Next: offset + 4,
		Registrations: []reducer.RegistrationRecord{managedUpstream("u2", 1, false), managedUpstream("u1", 2, false)},
		Removed:       []reducer.RemovedCopy{{Name: "u1", After: 1}, {Name: "u2", After: 2}},
	})
	is.Equal(len(m.node.Upstreams("tickets")), 1)
	is.Equal(m.node.Upstreams("tickets")[0].Name, "u1")
	m.advance(1300 * time.Millisecond)
	is.Equal(m.reads[reducer.TopicUpstreams].From, offset+4) // copies no longer arrive
	m.answerRead(reducer.TopicUpstreams, offset+4)
	m.receive(reducer.StoreCopy{Topic: reducer.TopicUpstreams, From: offset + 9, Next: offset + 9})
	s, asked := lastEffect[reducer.Send](m)
	is.True(asked) // records are missing
	is.Equal(s.Message, reducer.StoreRequest{})
	m.receive(reducer.StoreCopy{Topic: reducer.TopicUpstreams, Whole: true, Next: offset + 9, Registrations: []reducer.RegistrationRecord{managedUpstream("u7", 1, false)}})
	is.Equal(len(m.node.Upstreams("tickets")), 1) // the snapshot lacks u1
	is.Equal(m.node.Upstreams("tickets")[0].Name, "u7")
}

// TestStartInOutage guards against an entry that starts during an outage of the
// store and can't serve, although its peers hold everything it needs.
func TestStartInOutage(t *testing.T) {
	is := is.New(t)
	running := newManagedNode(t)
	running.startServing(patcher.Idempotent, "u1", "u2")
	running.join("e2", 1)
	m := newManagedNode(t)
	m.failRead(reducer.TopicDocument, false)
	m.failRead(reducer.TopicUpstreams, false)
	m.join("e0", 1)
	requested := false
	for _, e := range m.sent {
		_, ok := e.Message.(reducer.StoreRequest)
		requested = requested || ok
	}
	is.True(requested)
	running.receive(reducer.StoreRequest{})
	for _, e := range running.effects {
		if s, ok := e.(reducer.Send); ok {
			m.receive(s.Message)
		}
	}
	is.True(m.node.Ready())
	is.Equal(m.node.Config().Version, uint64(1))
	is.Equal(len(m.node.Upstreams("tickets")), 2)
	m.failRead(reducer.TopicDocument, false)
	m.failRead(reducer.TopicUpstreams, false)
	m.advance(3 * time.Second)
	is.Equal(m.reads[reducer.TopicDocument].From, uint64(1))
	is.Equal(m.reads[reducer.TopicUpstreams].From, uint64(5))
}

// TestStoreCopyContents guards against copies that lack a change or include heartbeats.
func TestStoreCopyContents(t *testing.T) {
	is := is.New(t)
	m := newManagedNode(t)
	m.startServing(patcher.Idempotent, "u1", "u2")
	m.join("e2", 1)
	m.answerRead(reducer.TopicUpstreams, 8, managedUpstream("u1", 2, false), reducer.RemovalRecord{Name: "u2"}, managedUpstream("u3", 1, false))
	s, ok := lastEffect[reducer.Send](m)
	is.True(ok)
	is.Equal(s.To, "e2")
	is.Equal(s.Message, reducer.StoreCopy{
		Topic: reducer.TopicUpstreams, From: 5, Next: 8,
		Registrations: []reducer.RegistrationRecord{managedUpstream("u3", 1, false)}, Removed: []reducer.RemovedCopy{{Name: "u2"}},
	})
}

// TestLargeDocument guards against sending a copy of a large document to each
// entry, which delays versions on links with low bandwidth.
func TestLargeDocument(t *testing.T) {
	is := is.New(t)
	m := newManagedNode(t)
	m.startServing(patcher.Idempotent, "u1")
	m.join("e2", 1)
	large := managedDocument(2, patcher.Idempotent)
	for range 500 {
		large.Routes = append(large.Routes, large.Routes[0])
	}
	m.answerRead(reducer.TopicDocument, 2, large)
	s, ok := lastEffect[reducer.Send](m)
	is.True(ok)
	is.Equal(s.Message, reducer.StoreCopy{Topic: reducer.TopicDocument, From: 2, Next: 2, Skipped: true})
	m.receive(reducer.StoreCopy{Topic: reducer.TopicDocument, From: 3, Next: 3, Skipped: true})
	r, reads := lastEffect[reducer.ReadStore](m)
	is.True(reads)
	is.Equal(r.From, uint64(2))
}

// TestStaleListing guards against records that are missed because a listing is
// older than the end offset returned with it, and against an endless loop of
// listings when the records after it have expired.
func TestStaleListing(t *testing.T) {
	is := is.New(t)
	m := newManagedNode(t)
	r := m.reads[reducer.TopicDocument]
	m.step(reducer.StoreRead{Stamp: m.stamp(), ID: r.ID, Topic: r.Topic, Whole: true, Next: 5, End: 9})
	m.advance(time.Second)
	is.Equal(m.reads[reducer.TopicDocument].From, uint64(5))
	m.failRead(reducer.TopicDocument, true)
	is.Equal(m.reads[reducer.TopicDocument].From, uint64(9))
	is.True(!m.reads[reducer.TopicDocument].Whole)
	m.failRead(reducer.TopicDocument, true)
	is.True(m.reads[reducer.TopicDocument].Whole)
}

// TestManagedDrain guards against new work and probes for a draining upstream.
func TestManagedDrain(t *testing.T) {
	is := is.New(t)
	m := newManagedNode(t)
	m.startServing(patcher.Idempotent, "u1")
	m.advance(time.Second)
	m.answerRead(reducer.TopicUpstreams, 6, managedUpstream("u1", 2, true))
	m.request(1, time.Second)
	_, dispatched := lastEffect[reducer.Dispatch](m)
	_, probed := lastEffect[reducer.Probe](m)
	is.True(!dispatched && !probed)
}

// TestFirstRetry guards against a long backoff after a single failed read, whose
// cause may be a silent connection and not an outage of the store.
func TestFirstRetry(t *testing.T) {
	is := is.New(t)
	m := newManagedNode(t)
	m.startServing(patcher.Idempotent, "u1")
	m.advance(time.Second)
	failed := m.reads[reducer.TopicDocument].ID
	m.failRead(reducer.TopicDocument, false)
	m.advance(150 * time.Millisecond)
	second := m.reads[reducer.TopicDocument].ID
	is.True(second != failed)
	m.failRead(reducer.TopicDocument, false)
	m.advance(250 * time.Millisecond)
	is.Equal(m.reads[reducer.TopicDocument].ID, second) // a second failure is taken for an outage
}

// TestSilentPeer guards against entries that permanently lose contact because the
// connections between them went silent.
func TestSilentPeer(t *testing.T) {
	is := is.New(t)
	m := newManagedNode(t)
	m.startServing(patcher.Idempotent, "u1")
	m.join("e0", 1)
	m.peer = nil
	m.advance(gossiper.SuspicionPeriod)
	is.Equal(len(m.disconnected), 0)
	m.advance(10 * time.Second)
	is.Equal(m.disconnected, []string{"e0"}) // once per silence, not at every timer
}

// TestStartDuringPeerStops guards against an entry that starts during an outage of the
// store and gets no snapshot, because it contacts its peers too late or skips those
// that are about to stop.
func TestStartDuringPeerStops(t *testing.T) {
	is := is.New(t)
	seeds := []netip.AddrPort{netip.MustParseAddrPort("10.0.0.2:1"), netip.MustParseAddrPort("10.0.0.3:1")}
	m := newManagedNode(t, seeds...)
	m.sent = nil
	m.advance(500 * time.Millisecond)
	asked := make(map[netip.AddrPort]int)
	for _, s := range m.sent {
		asked[s.Address]++
	}
	is.True(asked[seeds[0]] >= 2 && asked[seeds[1]] >= 2)
	m.join("e0", 1)
	m.peer.Update(m.now, gossiper.Leaving, 1, 0, false)
	m.exchange(gossiper.Ask, 0)
	m.sent = nil
	m.advance(250 * time.Millisecond)
	requested := false
	for _, s := range m.sent {
		_, ok := s.Message.(reducer.StoreRequest)
		requested = requested || ok
	}
	is.True(requested)
}

// TestStaggeredStoreReads guards against all entries reading the store at the same
// moment when copies no longer arrive because the entries that read first have failed.
func TestStaggeredStoreReads(t *testing.T) {
	is := is.New(t)
	last := time.Duration(0)
	for _, before := range []int{1, 2, 4, 5, 12, 40} {
		m := newManagedNode(t)
		m.startServing(patcher.Idempotent, "u1")
		m.join("e0", 1)
		m.answerRead(reducer.TopicUpstreams, 5)
		for i := range before - 1 {
			m.node.PutEntry(gossiper.Entry{Name: fmt.Sprintf("a%02d", i), Incarnation: 1, State: gossiper.Alive, HeardAt: m.now, KnownAt: m.now})
		}
		m.receive(reducer.StoreCopy{Topic: reducer.TopicUpstreams, From: 5, Next: 5})
		start, read := m.now, m.reads[reducer.TopicUpstreams].ID
		for m.reads[reducer.TopicUpstreams].ID == read && m.now.Sub(start) < 3*time.Second {
			m.advance(time.Millisecond)
		}
		waited := m.now.Sub(start)
		is.True(waited > last) // later than an entry with fewer entries before it
		is.True(waited < 1800*time.Millisecond)
		last = waited
	}
}

// TestLargeDocumentOnce guards against a read of a large document that restarts
// with each entry that announces it, and against entries that announce to each
// other records that all of them read themselves.
func TestLargeDocumentOnce(t *testing.T) {
	is := is.New(t)
	m := newManagedNode(t)
	m.startServing(patcher.Idempotent, "u1")
	m.join("e0", 1)
	m.answerRead(reducer.TopicDocument, 2)
	skipped := func(next uint64) {
		m.receive(reducer.StoreCopy{Topic: reducer.TopicDocument, From: next, Next: next, Skipped: true})
	}
	before := m.reads[reducer.TopicDocument].ID
	skipped(3)
	first := m.reads[reducer.TopicDocument]
	is.Equal(first.ID, before+1)
	for range 20 {
		skipped(4)
		m.receive(reducer.StoreCopy{Topic: reducer.TopicDocument, From: 4, Next: 4})
		m.advance(10 * time.Millisecond)
	}
	is.Equal(m.reads[reducer.TopicDocument].ID, first.ID)
	m.sent = nil
	m.answerRead(reducer.TopicDocument, 3, managedDocument(2, patcher.Idempotent))
	is.Equal(m.reads[reducer.TopicDocument].From, uint64(3)) // the remaining announced records
	m.answerRead(reducer.TopicDocument, 4, managedDocument(3, patcher.Idempotent))
	is.Equal(m.node.Config().Version, uint64(3))
	for _, s := range m.sent {
		_, copied := s.Message.(reducer.StoreCopy)
		is.True(!copied)
	}
	m.advance(time.Second)
	m.failRead(reducer.TopicDocument, false)
	m.advance(time.Second)
	is.Equal(m.reads[reducer.TopicDocument].From, uint64(4)) // polling continues
}
