package reducer_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azuretrestle/azuretrestle/internal/balancer"
	"github.com/azuretrestle/azuretrestle/internal/reducer"
	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

// TestConnectionOfRetry guards against a second attempt on the connection of the first one,
// at an upstream that has started again at its address under another name: a repeated
// response to the first attempt would be taken for the response to the second.
func TestConnectionOfRetry(t *testing.T) {
	for _, c := range []struct {
		name    string
		address string
		fresh   bool
	}{
		{"another name at the address", "10.0.0.1:80", true},
		{"another address", "10.0.0.2:80", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m := newManagedNode(t)
			other := managedUpstream("u2", 1, false)
			other.Address = netip.MustParseAddrPort(c.address)
			m.answerRead(reducer.TopicDocument, 1, managedDocument(1, patcher.Idempotent))
			m.answerRead(reducer.TopicUpstreams, 5, managedUpstream("u1", 1, false), other)
			idle := func(string) balancer.Report { return balancer.Report{Pace: 1} }
			m.sentTo("u1", 20) // fills the retry budget
			const id = 1000
			m.request(id, time.Second)
			m.serve(10*time.Millisecond, idle)
			first := m.dispatched[id]
			is.Equal(first.Attempt.Number, uint32(1))
			is.True(!first.Fresh)
			m.step(reducer.UpstreamAnswered{Stamp: m.stamp(), Attempt: first.Attempt, Status: 421, NotRun: true, Whole: true})
			m.serve(10*time.Millisecond, idle)
			second := m.dispatched[id]
			is.Equal(second.Attempt.Number, uint32(2))
			is.Equal(second.Fresh, c.fresh)
		})
	}
}
