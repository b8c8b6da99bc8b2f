package reducer_test

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/azuretrestle/azuretrestle/internal/balancer"
	"github.com/azuretrestle/azuretrestle/internal/reducer"
	"github.com/azuretrestle/azuretrestle/pkg/classifier"
	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

// refusalChecker checks that refusals as not run are true: each attempt of the request was
// not sent or was refused by its upstream, and none follows.
type refusalChecker struct {
	*managedNode
	t *rapid.T
	// open holds the attempts without a result, mayHaveRun the requests of which one may have run.
	open       map[reducer.AttemptID]bool
	mayHaveRun map[reducer.RequestID]bool
	ended      map[reducer.RequestID]bool
	count      reducer.RequestID
	version    uint64
}

// effect checks an effect of the node.
func (c *refusalChecker) effect(e reducer.Effect) {
	switch e := e.(type) {
	case reducer.Dispatch:
		if c.ended[e.Attempt.Request] {
			c.t.Fatalf("attempt of a request that has ended: %+v", e)
		}
		c.open[e.Attempt] = true
	case reducer.Cancel:
		delete(c.open, e.Attempt)
		c.mayHaveRun[e.Attempt.Request] = true
	case reducer.Relay:
		c.end(e.Attempt.Request)
	case reducer.Refuse:
		if e.Outcome == classifier.OutcomeNotRun && (c.mayHaveRun[e.ID] || c.hasOpen(e.ID)) {
			c.t.Fatalf("refusal as not run of a request that may run: %+v", e)
		}
		c.end(e.ID)
	}
}

func (c *refusalChecker) end(id reducer.RequestID) {
	if c.ended[id] {
		c.t.Fatalf("request %d ended twice", id)
	}
	c.ended[id] = true
}

func (c *refusalChecker) hasOpen(id reducer.RequestID) bool {
	for a := range c.open {
		if a.Request == id {
			return true
		}
	}
	return false
}

// takeOpen removes and returns an attempt without a result.
func (c *refusalChecker) takeOpen() (reducer.AttemptID, bool) {
	if len(c.open) == 0 {
		return reducer.AttemptID{}, false
	}
	ids := slices.SortedFunc(maps.Keys(c.open), func(a, b reducer.AttemptID) int {
		return int(a.Request)*100 + int(a.Number) - int(b.Request)*100 - int(b.Number)
	})
	a := rapid.SampledFrom(ids).Draw(c.t, "attempt")
	delete(c.open, a)
	return a, true
}

// fail ends an attempt without a response.
func (c *refusalChecker) fail(*rapid.T) {
	a, ok := c.takeOpen()
	if !ok {
		return
	}
	sent := rapid.Bool().Draw(c.t, "sent")
	c.mayHaveRun[a.Request] = c.mayHaveRun[a.Request] || sent
	failures := []balancer.Failure{balancer.FailureDial, balancer.FailureLost, balancer.FailureTimeout, balancer.FailureTruncated}
	c.step(reducer.AttemptFailed{Stamp: c.stamp(), Attempt: a, Failure: rapid.SampledFrom(failures).Draw(c.t, "failure"), Sent: sent})
}

// respond ends an attempt with a response.
func (c *refusalChecker) respond(*rapid.T) {
	a, ok := c.takeOpen()
	if !ok {
		return
	}
	status := rapid.SampledFrom([]int{200, 404, 421, 500, 503, 504}).Draw(c.t, "status")
	notRun := status == 421 || status == 503
	c.mayHaveRun[a.Request] = c.mayHaveRun[a.Request] || !notRun
	c.step(reducer.UpstreamAnswered{Stamp: c.stamp(), Attempt: a, Status: status, NotRun: notRun, Whole: true, Report: c.report()})
}

// probe answers a preflight probe.
func (c *refusalChecker) probe(*rapid.T) {
	if len(c.probes) == 0 {
		return
	}
	p := c.probes[0]
	c.probes = c.probes[1:]
	ok := rapid.Bool().Draw(c.t, "healthy")
	c.step(reducer.ProbeAnswered{Stamp: c.stamp(), Request: p.Request, Service: p.Service, Upstream: p.Upstream, OK: ok, Report: c.report()})
}

// report returns the load report of a free or full upstream, or none.
func (c *refusalChecker) report() *balancer.Report {
	return rapid.SampledFrom([]*balancer.Report{nil, {Pace: 1}, {InFlight: 4, Queued: 3, Pace: 1}, {Pace: 30}}).Draw(c.t, "report")
}

// configure puts another document in force, with or without the service's rank.
func (c *refusalChecker) configure(*rapid.T) {
	c.version++
	document := managedDocument(c.version, patcher.Unrepeatable)
	if rapid.IntRange(0, 3).Draw(c.t, "without route") == 0 {
		document.Routes = nil
	}
	c.advance(time.Second)
	c.answerRead(reducer.TopicDocument, c.version, document)
}

// register changes the registration of an upstream; all have one of two addresses.
func (c *refusalChecker) register(*rapid.T) {
	number := rapid.IntRange(1, 4).Draw(c.t, "upstream")
	r := bornUpstream(fmt.Sprint("u", number), int64(rapid.IntRange(1, 2).Draw(c.t, "born")), int64(c.count), rapid.Bool().Draw(c.t, "draining"))
	r.Address = netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:80", number%2))
	c.managedNode.register(r)
}

// TestRefusalsAreTrue guards against a request that is refused as not run while an attempt
// is in progress or may have run, or that is sent after its end, in any order of events.
func TestRefusalsAreTrue(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := &refusalChecker{
			managedNode: newManagedNode(t), t: rt, version: 1, open: make(map[reducer.AttemptID]bool),
			mayHaveRun: make(map[reducer.RequestID]bool), ended: make(map[reducer.RequestID]bool),
		}
		c.observe = c.effect
		c.startServingBorn(patcher.Unrepeatable, 1, "u1", "u2", "u3", "u4")
		arrive := func(*rapid.T) {
			c.count++
			c.request(c.count, time.Duration(rapid.IntRange(1, 400).Draw(rt, "milliseconds left"))*time.Millisecond)
		}
		pass := func(*rapid.T) {
			c.advance(time.Duration(rapid.IntRange(0, 60).Draw(rt, "milliseconds")) * time.Millisecond)
		}
		rt.Repeat(map[string]func(*rapid.T){
			"arrive": arrive, "arrive again": arrive, "pass": pass, "probe": c.probe, "probe again": c.probe,
			"fail": c.fail, "respond": c.respond, "configure": c.configure, "register": c.register,
			"disconnect": func(*rapid.T) {
				id := reducer.RequestID(rapid.Uint64Range(1, uint64(c.count)+1).Draw(rt, "request"))
				c.ended[id] = c.ended[id] || id <= c.count
				c.step(reducer.CallerDisconnected{Stamp: c.stamp(), ID: id})
			},
			"announce": func(*rapid.T) {
				c.announce(fmt.Sprint("u", rapid.IntRange(1, 4).Draw(rt, "upstream")), 1, balancer.Announcement{
					Leaving: rapid.Bool().Draw(rt, "leaving"), RetryAt: c.now.Add(50 * time.Millisecond),
				})
			},
			"suspend": func(*rapid.T) {
				c.step(reducer.Resumed{Stamp: c.stamp(), Suspended: time.Duration(rapid.IntRange(100, 300).Draw(rt, "suspended")) * time.Millisecond})
			},
			"stop": func(*rapid.T) {
				if rapid.IntRange(0, 9).Draw(rt, "stop") == 0 {
					c.step(reducer.StopRequested{Stamp: c.stamp(), Deadline: c.now.Add(500 * time.Millisecond)})
				}
			},
		})
	})
}
