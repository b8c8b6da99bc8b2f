package reducer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azuretrestle/azuretrestle/internal/reducer"
	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

// failReads lets the reads of the registrations fail for the given time. If copies is
// set, a peer that can read the store sends copies meanwhile.
func (m *managedNode) failReads(length time.Duration, copies bool) {
	next := m.reads[reducer.TopicUpstreams].From
	for end := m.now.Add(length); m.now.Before(end); m.advance(500 * time.Millisecond) {
		m.failRead(reducer.TopicUpstreams, false)
		if copies {
			m.receive(reducer.StoreCopy{Topic: reducer.TopicUpstreams, From: next, Next: next})
		}
	}
}

// TestReadFailureOfOneEntry guards against an upstream that stays in use after its
// registration was removed, because one entry's path to the store had failed and this
// entry or its peers took that for an outage of the store.
func TestReadFailureOfOneEntry(t *testing.T) {
	for _, c := range []struct {
		name   string
		remove func(m *managedNode, from uint64)
	}{
		{"at this entry", func(m *managedNode, from uint64) {
			m.failReads(4*time.Second, true)
			m.answerRead(reducer.TopicUpstreams, from+1, reducer.RemovalRecord{Name: "u2"})
		}},
		{"at a peer", func(m *managedNode, from uint64) {
			m.receive(reducer.StoreCopy{Topic: reducer.TopicUpstreams, From: from, Next: from + 1, LapseLeft: 1700 * time.Millisecond})
			m.answerRead(reducer.TopicUpstreams, from+2, reducer.RemovalRecord{Name: "u2"})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m := newManagedNode(t)
			m.startServing(patcher.Idempotent, "u1", "u2")
			m.join("e2", 1)
			m.answerRead(reducer.TopicUpstreams, 6)
			m.advance(time.Second)
			c.remove(m, 6)
			is.Equal(len(m.node.Upstreams("tickets")), 1)
			s, ok := lastEffect[reducer.Send](m)
			is.True(ok)
			is.Equal(s.Message.(reducer.StoreCopy).LapseLeft, time.Duration(0)) // the peers must not wait either
		})
	}
}

// TestStartInOutageOfStore guards against the loss of upstreams at an entry that started
// during an outage of the store and knows them from a peer.
func TestStartInOutageOfStore(t *testing.T) {
	is := is.New(t)
	m := newManagedNode(t)
	m.join("e0", 1)
	m.failRead(reducer.TopicDocument, false)
	m.failRead(reducer.TopicUpstreams, false)
	m.receive(reducer.StoreCopy{Topic: reducer.TopicDocument, Whole: true, Next: 1, Documents: []reducer.DocumentRecord{managedDocument(1, patcher.Idempotent)}})
	m.receive(reducer.StoreCopy{
		Topic: reducer.TopicUpstreams, Whole: true, Next: 5,
		Registrations: []reducer.RegistrationRecord{managedUpstream("u1", 1, false), managedUpstream("u2", 1, false)},
	})
	m.advance(time.Second)
	m.receive(reducer.StoreCopy{
		Topic: reducer.TopicUpstreams, From: 5, Next: 6, LapseLeft: 800 * time.Millisecond, Removed: []reducer.RemovedCopy{{Name: "u2"}},
	})
	is.Equal(len(m.node.Upstreams("tickets")), 2)
	m.advance(time.Second)
	is.Equal(len(m.node.Upstreams("tickets")), 1)
}

// TestOutageOfStore guards against the loss of upstreams whose registration expired
// during an outage of the store, whether this entry or a peer reads the store first
// after the outage.
func TestOutageOfStore(t *testing.T) {
	for _, c := range []struct {
		name   string
		resume func(m *managedNode, from uint64)
	}{
		{"read by this entry", func(m *managedNode, from uint64) {
			m.answerRead(reducer.TopicUpstreams, from+1, reducer.RemovalRecord{Name: "u2"})
		}},
		{"read by a peer", func(m *managedNode, from uint64) {
			m.receive(reducer.StoreCopy{
				Topic: reducer.TopicUpstreams, From: from, Next: from + 1, LapseLeft: 800 * time.Millisecond,
				Removed: []reducer.RemovedCopy{{Name: "u2"}},
			})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m := newManagedNode(t)
			m.startServing(patcher.Idempotent, "u1", "u2")
			m.join("e2", 1)
			m.answerRead(reducer.TopicUpstreams, 6)
			m.advance(time.Second)
			m.failReads(4*time.Second, false)
			c.resume(m, 6)
			is.Equal(len(m.node.Upstreams("tickets")), 2)
			m.advance(500 * time.Millisecond)
			is.Equal(len(m.node.Upstreams("tickets")), 2)
			m.advance(3 * time.Second)
			is.Equal(len(m.node.Upstreams("tickets")), 1) // it did not register again
		})
	}
}
