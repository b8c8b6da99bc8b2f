package reducer

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/azuretrestle/azuretrestle/internal/auditor"
	"github.com/azuretrestle/azuretrestle/internal/versioner"
	"github.com/azuretrestle/azuretrestle/pkg/classifier"
)

// TestPatchReplies guards against a wrong reply to a patch under each fault of the log.
func TestPatchReplies(t *testing.T) {
	tests := []struct {
		name  string
		fault func(*cluster)
		base  uint64
		code  classifier.Code
		// applied is set if the patch is in force once the fault has ended.
		applied bool
	}{
		{"log up", func(*cluster) {}, 1, classifier.OK, true},
		{"stale base", func(*cluster) {}, 0, classifier.StaleVersion, false},
		{"response to the append lost", func(c *cluster) { c.log.losesResponses = true }, 1, classifier.OK, true},
		{"append refused", func(c *cluster) { c.log.refusesAppends = true }, 1, classifier.LogUnavailable, false},
		{"log down", func(c *cluster) { c.log.down = true; c.run(2 * time.Second) }, 1, classifier.LogUnavailable, false},
		{"log goes down with the append", func(c *cluster) { c.log.down = true }, 1, classifier.PatchPending, false},
		{"append stored, then log down", func(c *cluster) {
			c.log.losesResponses = true
			c.after(0, func() { c.log.down = true })
		}, 1, classifier.PatchPending, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := newReadyCluster(t)
			tt.fault(c)
			a := c.submitAndWait("b2", "p2", tt.base)
			is.Equal(a.Code, tt.code)
			c.log.down, c.log.losesResponses, c.log.refusesAppends = false, false, false
			c.run(5 * time.Second)
			is.Equal(c.nodes["d1"].node.Config().Version == 2, tt.applied)
			if tt.applied {
				is.Equal(c.submitAndWait("c1", "p2", tt.base), AnswerPatch{ID: c.nextID, Code: classifier.OK, Version: 2})
			}
		})
	}
}

// TestRacingPatches guards against two concurrent patches based on the same version
// that both take effect.
func TestRacingPatches(t *testing.T) {
	is := is.New(t)
	c := newReadyCluster(t)
	first := c.submit("a1", testPatch("x", 1))
	second := c.submit("d1", testPatch("y", 1))
	c.run(4 * time.Second)
	is.Equal(c.patches[first].Code, classifier.OK)
	is.Equal(c.patches[second].Code, classifier.StaleVersion)
	is.Equal(c.patches[second].Version, uint64(2))
	c.run(15 * time.Second)
	for _, name := range sixNames {
		is.Equal(c.nodes[name].node.Config().Version, uint64(2))
		trail := c.nodes[name].node.Trail()
		is.Equal(len(slices.DeleteFunc(trail, func(e auditor.Entry) bool { return e.Subject != "x" })), 1)
	}
}

// TestSilentEntry guards against a dead entry that blocks patches, and against
// acceptance of a patch while an entry whose evidence has not expired may lack it.
func TestSilentEntry(t *testing.T) {
	is := is.New(t)
	c := newReadyCluster(t)
	c.nodes["c1"].dead = true
	at := c.now
	is.Equal(c.submitAndWait("a1", "p2", 1).Code, classifier.OK)
	is.True(c.now.Sub(at) >= versioner.SilencePeriod)
	for _, name := range []string{"b1", "b2", "d1"} {
		c.nodes[name].dead = true
	}
	a := c.submitAndWait("a1", "p3", 2)
	is.Equal(a.Code, classifier.PatchPending)
	is.True(slices.Contains(a.Pending, "d1"))
}

// TestOutage guards against a log outage of one hour that stops service, loses
// the order of versions or loses audit records.
func TestOutage(t *testing.T) {
	is := is.New(t)
	c := newReadyCluster(t)
	c.run(5 * time.Second)
	c.log.down = true
	for range 60 {
		c.run(time.Minute)
		is.Equal(c.accepting(), sixNames)
	}
	is.Equal(c.submitAndWait("a1", "p2", 1).Code, classifier.LogUnavailable)
	c.add("e1")
	c.run(10 * time.Second)
	is.Equal(c.nodes["e1"].node.Config().Version, uint64(1))
	is.True(slices.Contains(c.accepting(), "e1"))
	c.log.down = false
	c.run(30 * time.Second)
	is.Equal(c.submitAndWait("e1", "p2", 1).Code, classifier.OK)
	for _, name := range c.names {
		trail := c.nodes[name].node.Trail()
		is.True(slices.ContainsFunc(trail, func(e auditor.Entry) bool { return e.Action == "PatchRefused" && e.Subject == "p2" }))
		is.True(slices.ContainsFunc(trail, func(e auditor.Entry) bool { return e.Action == "MemberAlive" && e.Subject == "e1" }))
	}
}

// TestRetention guards against a configuration or audit trail that is lost when
// old log records expire, and against a stale checkpoint that reverts the configuration.
func TestRetention(t *testing.T) {
	is := is.New(t)
	c := newReadyCluster(t)
	stale, err := versioner.EncodeCheckpoint(c.nodes["a1"].node.config.log.Checkpoint(c.now, nil))
	is.NoErr(err)
	c.run(time.Minute)
	version := uint64(1)
	for i := range 70 {
		version = c.submitAndWait("a1", fmt.Sprint("q", i), version).Version
	}
	c.run(2 * time.Minute)
	s := c.log.stream(versioner.Stream)
	c.partitioned = func(string, string) bool { return true }
	c.add("x1")
	c.runUntil(10*time.Second, func() bool { return slices.Contains(c.accepting(), "x1") })
	is.Equal(c.nodes["x1"].node.Config().Version, version)
	c.partitioned = func(string, string) bool { return false }
	checkpoints := 0
	for _, r := range s.records {
		if len(r.Payload) > 10 && string(r.Payload[2:12]) == "Checkpoint" {
			checkpoints++
		}
	}
	is.True(checkpoints >= 2 && checkpoints <= 4)
	s.expire(s.tail() - 8)
	s.add(stale)
	c.log.stream(auditor.Stream).expire(1 << 30)
	c.names = nil
	for _, n := range c.nodes {
		n.dead = true
	}
	for _, name := range sixNames {
		c.add(name)
	}
	c.run(10 * time.Second)
	is.Equal(c.accepting(), sixNames)
	is.Equal(c.nodes["d1"].node.Config().Version, version)
	is.True(len(c.nodes["d1"].node.Trail()) > 10)
}

// TestReplay guards against effects that depend on anything other than the events.
func TestReplay(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, sixNames...)
	c.record = true
	for i := range uint64(5) {
		c.submitAndWait("a1", fmt.Sprint("p", i), i)
		c.request("b1")
		c.askEntries("b1")
	}
	c.log.down = true
	c.run(20 * time.Second)
	for _, name := range sixNames {
		original := c.nodes[name]
		replayed := New(original.node.Options)
		replayed.Start(c.start)
		for i, ev := range original.events {
			is.True(reflect.DeepEqual(replayed.Step(ev), original.effects[i]))
		}
	}
}

// TestVersions guards against a node that reverts to an older version, and against
// one that accepts work without a version accepted more than 6 s ago;
// cluster.checkInvariants checks both.
func TestVersions(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := newCluster(rt, sixNames[:rapid.IntRange(2, 5).Draw(rt, "entries")]...)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0))
		for range 40 {
			c.injectRandomFault(random)
			c.run(time.Duration(random.Int64N(int64(4 * time.Second))))
		}
	})
}

// injectRandomFault starts or ends a random fault, or submits a patch.
func (c *cluster) injectRandomFault(random *rand.Rand) {
	name := c.names[random.IntN(len(c.names))]
	n := c.nodes[name]
	switch random.IntN(10) {
	case 0:
		c.log.down = !c.log.down
	case 1:
		c.log.losesResponses = !c.log.losesResponses
	case 2:
		n.logUnreachable = !n.logUnreachable
	case 3:
		n.paused = true
	case 4:
		c.resume(n)
	case 5:
		isolated := c.names[:random.IntN(len(c.names))]
		c.partitioned = func(a, b string) bool { return slices.Contains(isolated, a) != slices.Contains(isolated, b) }
	case 6:
		n.dead = true
		c.add(name)
	default:
		c.submit(name, testPatch(fmt.Sprint("r", c.nextID), n.node.Config().Version))
	}
}
