package reducer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azuretrestle/azuretrestle/internal/balancer"
	"github.com/azuretrestle/azuretrestle/internal/reducer"
	"github.com/azuretrestle/azuretrestle/pkg/classifier"
	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

// bornUpstream is a registration of an upstream with a known start.
func bornUpstream(name string, born, sequence int64, draining bool) reducer.RegistrationRecord {
	r := managedUpstream(name, sequence, draining)
	r.Born = born
	return r
}

func (m *managedNode) announce(upstream string, born int64, a balancer.Announcement) {
	m.step(reducer.UpstreamAnnounced{Stamp: m.stamp(), Service: "tickets", Upstream: upstream, Born: born, Announcement: a})
}

// register reads one more record of an upstream from the store.
func (m *managedNode) register(records ...reducer.StoreRecord) {
	m.advance(time.Second)
	m.answerRead(reducer.TopicUpstreams, m.reads[reducer.TopicUpstreams].From+1, records...)
}

// sentTo sends requests, answers all probes and attempts as an idle upstream would, and
// returns how many of them reached the named upstream.
func (m *managedNode) sentTo(upstream string, requests int) int {
	count := 0
	for range requests {
		m.lastID++
		m.request(m.lastID, time.Second)
		if p, ok := lastEffect[reducer.Probe](m); ok {
			m.step(reducer.ProbeAnswered{Stamp: m.stamp(), Request: p.Request, Service: p.Service, Upstream: p.Upstream, OK: true, Report: &balancer.Report{Pace: 1}})
		}
		if d, ok := lastEffect[reducer.Dispatch](m); ok {
			if d.Upstream == upstream {
				count++
			}
			m.step(reducer.UpstreamAnswered{Stamp: m.stamp(), Attempt: d.Attempt, Status: 200, Whole: true})
		}
		m.advance(20 * time.Millisecond)
	}
	return count
}

var leaving = balancer.Announcement{Leaving: true}

// TestAnnouncedLeaving guards against requests to an upstream that has announced that it
// leaves, whatever the store says about it later, and against a later start of it that
// gets no requests because of that.
func TestAnnouncedLeaving(t *testing.T) {
	for _, c := range []struct {
		name  string
		after func(*managedNode)
		used  bool
	}{
		{"announced", func(m *managedNode) { m.announce("u1", 1, leaving) }, false},
		{"heartbeat", func(m *managedNode) {
			m.announce("u1", 1, leaving)
			m.register(bornUpstream("u1", 1, 2, false))
		}, false},
		{"registration expired and returned", func(m *managedNode) {
			m.announce("u1", 1, leaving)
			m.register(reducer.RemovalRecord{Name: "u1"})
			m.register(bornUpstream("u1", 1, 3, false))
		}, false},
		{"announced while the registration has expired", func(m *managedNode) {
			m.register(reducer.RemovalRecord{Name: "u1"})
			m.announce("u1", 1, leaving)
			m.register(bornUpstream("u1", 1, 3, false))
		}, false},
		{"registration draining and ready again", func(m *managedNode) {
			m.announce("u1", 1, leaving)
			m.register(bornUpstream("u1", 1, 2, true))
			m.register(bornUpstream("u1", 1, 3, false))
		}, false},
		{"service removed and added", func(m *managedNode) {
			m.announce("u1", 1, leaving)
			m.advance(time.Second)
			none := managedDocument(2, patcher.Idempotent)
			none.Services = nil
			m.answerRead(reducer.TopicDocument, 2, none)
			m.advance(time.Second)
			m.answerRead(reducer.TopicDocument, 3, managedDocument(3, patcher.Idempotent))
		}, false},
		{"started again", func(m *managedNode) {
			m.announce("u1", 1, leaving)
			m.register(bornUpstream("u1", 2, 1, false))
		}, true},
		{"late response of the start before", func(m *managedNode) {
			m.register(bornUpstream("u1", 2, 1, false))
			m.announce("u1", 1, leaving)
		}, true},
		{"nothing announced", func(m *managedNode) { m.announce("u1", 1, balancer.Announcement{}) }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m := newManagedNode(t)
			m.startServingBorn(patcher.Idempotent, 1, "u1", "u2", "u3")
			is.True(m.sentTo("u1", 30) > 0)
			c.after(m)
			m.advance(3 * time.Second) // past the slow start of an upstream that joins
			is.Equal(m.sentTo("u1", 60) > 0, c.used)
		})
	}
}

// TestAnnouncedDuringProbe guards against a request that is sent to an upstream because
// it was chosen before the upstream announced that it leaves or wants no requests.
func TestAnnouncedDuringProbe(t *testing.T) {
	for _, c := range []struct {
		name      string
		announced func(now time.Time) balancer.Announcement
	}{
		{"leaving", func(time.Time) balancer.Announcement { return leaving }},
		{"pause", func(now time.Time) balancer.Announcement { return balancer.Announcement{RetryAt: now.Add(time.Second)} }},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m := newManagedNode(t)
			m.startServingBorn(patcher.Unrepeatable, 1, "u1", "u2")
			m.request(1, time.Second)
			p, ok := lastEffect[reducer.Probe](m)
			is.True(ok)
			m.announce(p.Upstream, 1, c.announced(m.now))
			m.step(reducer.ProbeAnswered{Stamp: m.stamp(), Request: 1, Service: p.Service, Upstream: p.Upstream, OK: true, Report: &balancer.Report{Pace: 1}})
			_, sent := lastEffect[reducer.Dispatch](m)
			is.True(!sent)
			next, ok := lastEffect[reducer.Probe](m)
			is.True(ok)
			is.True(next.Upstream != p.Upstream)
		})
	}
}

// TestAnnouncedPause guards against requests before the end of a pause that an upstream
// asked for, also if a later refusal names a shorter one, and against requests that wait
// for the end of pauses although their deadline comes first.
func TestAnnouncedPause(t *testing.T) {
	is := is.New(t)
	m := newManagedNode(t)
	m.startServingBorn(patcher.Idempotent, 1, "u1", "u2")
	m.announce("u1", 1, balancer.Announcement{RetryAt: m.now.Add(2 * time.Second)})
	m.announce("u1", 1, balancer.Announcement{RetryAt: m.now.Add(time.Second)})
	is.Equal(m.sentTo("u1", 90), 0) // 1.8 s
	m.advance(300 * time.Millisecond)
	is.True(m.sentTo("u1", 30) > 0)
	opensAt := m.now.Add(500 * time.Millisecond)
	m.announce("u1", 1, balancer.Announcement{RetryAt: opensAt})
	m.announce("u2", 1, balancer.Announcement{RetryAt: opensAt.Add(time.Second)})
	m.request(1001, 400*time.Millisecond)
	r, refused := lastEffect[reducer.Refuse](m)
	is.True(refused)
	is.Equal(r.Outcome, classifier.OutcomeNotRun)
	is.True(!r.RetryAt.Before(opensAt))
	m.request(1002, time.Second)
	_, refused = lastEffect[reducer.Refuse](m)
	is.True(!refused)
	for m.now.Before(opensAt.Add(50 * time.Millisecond)) {
		_, probed := lastEffect[reducer.Probe](m)
		is.True(!probed)
		m.advance(10 * time.Millisecond)
		if p, ok := lastEffect[reducer.Probe](m); ok {
			is.Equal(p.Upstream, "u1")
			is.True(!m.now.Before(opensAt))
			return
		}
	}
	t.Fatal("the request was not dispatched after the pause")
}

// TestAllLeaving guards against requests that wait until their deadline although no
// upstream of their service will take them.
func TestAllLeaving(t *testing.T) {
	is := is.New(t)
	m := newManagedNode(t)
	m.startServingBorn(patcher.Idempotent, 1, "u1", "u2")
	m.announce("u1", 1, leaving)
	m.announce("u2", 1, leaving)
	m.request(1, time.Second)
	r, refused := lastEffect[reducer.Refuse](m)
	is.True(refused)
	is.Equal(r.Code, classifier.NoUpstream)
	is.Equal(r.Outcome, classifier.OutcomeNotRun)
	is.True(r.RetryAt.After(m.now))
	m.register(bornUpstream("u3", 1, 1, false))
	is.True(m.sentTo("u3", 3) > 0)
}
