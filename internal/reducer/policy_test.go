package reducer

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azuretrestle/azuretrestle/internal/balancer"
	"github.com/azuretrestle/azuretrestle/internal/versioner"
	"github.com/azuretrestle/azuretrestle/pkg/classifier"
	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

var epoch = time.Unix(1_700_000_000, 0)

func period(d time.Duration) patcher.Period { return patcher.Period{Duration: d} }

func testService(upstreams int) patcher.Service {
	s := patcher.Service{
		Name: "S", MeasuringBudget: 16, MaxEntries: 8,
		Ranks: []patcher.Rank{
			{Name: "Lookup", Kind: patcher.Idempotent, Target: period(time.Second), Patience: period(5 * time.Second), MaxQueue: 100},
			{Name: "Post", Kind: patcher.OnceOnly, Urgency: 1, Target: period(time.Second), Patience: period(5 * time.Second), MaxQueue: 100},
		},
	}
	for i := range upstreams {
		s.Upstreams = append(s.Upstreams, patcher.Upstream{
			Name: fmt.Sprintf("u%04d", i), DataCentre: "a", Slots: 4, Connections: 80,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80),
		})
	}
	return s
}

// testBench drives one node directly and keeps the effects of the last step.
type testBench struct {
	t           testing.TB
	node        *Node
	now         time.Time
	offset      uint64
	version     uint64
	nextID      RequestID
	lastEffects []Effect
}

func newTestBench(t testing.TB, s patcher.Service, seed uint64) *testBench {
	b := &testBench{t: t, now: epoch, node: New(Options{Name: "e1", Incarnation: 1, DataCentre: "a", Seed: seed})}
	b.node.Start(b.now)
	b.configure(patcher.PutService{Service: s})
	return b
}

func (b *testBench) configure(op patcher.Operation) {
	payload, err := versioner.EncodePatch(patcher.Patch{ID: fmt.Sprint(b.version), Base: b.version, Operations: []patcher.Operation{op}})
	if err != nil {
		b.t.Fatal(err)
	}
	b.version++
	b.offset++
	b.step(LogRead{
		Stamp: Stamp{b.now}, Stream: versioner.Stream, AskedAt: b.now, Next: b.offset, Tail: b.offset,
		Records: []Record{{Offset: b.offset - 1, Payload: payload}},
	})
}

func (b *testBench) step(ev Event) []Effect {
	b.lastEffects = b.node.Step(ev)
	return b.lastEffects
}

// wait advances the time by d in steps of 1 ms and fires due timers.
func (b *testBench) wait(d time.Duration) (effects []Effect) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(min(time.Millisecond, end.Sub(b.now)))
		effects = append(effects, b.step(TimerFired{Stamp{b.now}})...)
	}
	return effects
}

// arrive submits a request at admission, skipping the once-only protocol.
func (b *testBench) arrive(rank string) []Effect {
	n := b.node
	n.now = b.now
	s := n.services["S"]
	k, _ := s.config.Rank(rank)
	b.nextID++
	r := &request{id: b.nextID, service: s, rank: *k, replayable: true, deadline: b.now.Add(k.Patience.Duration)}
	n.requests[r.id] = r
	s.creditBudgets()
	n.enqueue(r)
	b.lastEffects = n.takeEffects()
	return b.lastEffects
}

func effectsOf[E Effect](effects []Effect) (out []E) {
	for _, e := range effects {
		if e, ok := e.(E); ok {
			out = append(out, e)
		}
	}
	return out
}

func (b *testBench) answer(d Dispatch, change func(*UpstreamAnswered)) []Effect {
	ev := UpstreamAnswered{Stamp: Stamp{b.now}, Attempt: d.Attempt, Status: 200, Whole: true}
	if change != nil {
		change(&ev)
	}
	return b.step(ev)
}

// warmUp gives the node n latency samples, from which it derives the delays of
// hedges and of checks for silent connections.
func (b *testBench) warmUp(n int, latency time.Duration) {
	for range n {
		d := effectsOf[Dispatch](b.arrive("Lookup"))[0]
		b.wait(latency)
		b.answer(d, nil)
	}
}

// TestFailedAttempts guards against a once-only request that is retried although
// it may have run, and against an outcome that is more certain than the evidence.
func TestFailedAttempts(t *testing.T) {
	answer := func(change func(*UpstreamAnswered)) func(*testBench, Dispatch) []Effect {
		return func(b *testBench, d Dispatch) []Effect { return b.answer(d, change) }
	}
	fail := func(f balancer.Failure, sent bool) func(*testBench, Dispatch) []Effect {
		return func(b *testBench, d Dispatch) []Effect {
			return b.step(AttemptFailed{Stamp: Stamp{b.now}, Attempt: d.Attempt, Failure: f, Sent: sent})
		}
	}
	deadline := func(b *testBench, _ Dispatch) []Effect { return b.wait(6 * time.Second) }
	tests := []struct {
		name, rank string
		end        func(*testBench, Dispatch) []Effect
		retried    bool
		outcome    classifier.Outcome
	}{
		{"refused by the upstream", "Post", answer(func(a *UpstreamAnswered) { a.NotRun = true }), true, 0},
		{"dial failed", "Post", fail(balancer.FailureDial, false), true, 0},
		{"lost before a byte left", "Post", fail(balancer.FailureLost, false), true, 0},
		{"lost", "Post", fail(balancer.FailureLost, true), false, classifier.OutcomeUnknown},
		{"truncated", "Post", fail(balancer.FailureTruncated, true), false, classifier.OutcomeUnknown},
		{"deadline", "Post", deadline, false, classifier.OutcomeUnknown},
		{"lost", "Lookup", fail(balancer.FailureLost, true), true, 0},
		{"error response", "Lookup", answer(func(a *UpstreamAnswered) { a.Status = 500 }), true, 0},
	}
	for _, tt := range tests {
		t.Run(tt.rank+" "+tt.name, func(t *testing.T) {
			is := is.New(t)
			b := newTestBench(t, testService(5), 1)
			first := effectsOf[Dispatch](b.arrive(tt.rank))[0]
			effects := tt.end(b, first)
			second, refused := effectsOf[Dispatch](effects), effectsOf[Refuse](effects)
			if tt.retried {
				is.Equal(len(second), 1)
				is.True(second[0].Upstream != first.Upstream)
				is.Equal(len(refused), 0)
				return
			}
			is.Equal(len(second), 0)
			is.Equal(len(refused), 1)
			is.Equal(refused[0].Outcome, tt.outcome)
		})
	}
	is := is.New(t)
	b := newTestBench(t, testService(5), 1)
	effects := b.answer(effectsOf[Dispatch](b.arrive("Post"))[0], func(a *UpstreamAnswered) { a.Status = 500 })
	is.Equal(len(effectsOf[Relay](effects)), 1) // an error response to once-only work is its result
	is.Equal(len(effectsOf[Dispatch](effects)), 0)
}

// TestOnceOnlyConnection guards against once-only work on an idle connection that
// may have gone silent.
func TestOnceOnlyConnection(t *testing.T) {
	is := is.New(t)
	b := newTestBench(t, testService(1), 1)
	send := func() bool {
		d := effectsOf[Dispatch](b.arrive("Post"))[0]
		b.answer(d, nil)
		return d.Fresh
	}
	is.True(send())
	b.wait(900 * time.Millisecond)
	is.True(!send())
	b.wait(1100 * time.Millisecond)
	is.True(send())
}

// TestHedge guards against two responses to one request, two attempts at one
// upstream, a losing attempt that is not cancelled, hedges of once-only work and an
// unbounded share of hedges.
func TestHedge(t *testing.T) {
	is := is.New(t)
	b := newTestBench(t, testService(5), 1)
	b.warmUp(200, 2*time.Millisecond)
	first := effectsOf[Dispatch](b.arrive("Lookup"))[0]
	second := effectsOf[Dispatch](b.wait(50 * time.Millisecond))
	is.Equal(len(second), 1)
	is.True(second[0].Upstream != first.Upstream)
	effects := b.answer(second[0], nil)
	is.Equal(effectsOf[Relay](effects), []Relay{{second[0].Attempt}})
	is.Equal(effectsOf[Cancel](effects), []Cancel{{first.Attempt}})
	is.Equal(len(effectsOf[Relay](b.answer(first, nil))), 0)

	b.arrive("Post")
	is.Equal(len(effectsOf[Dispatch](b.wait(50*time.Millisecond))), 0)

	hedges := 0
	for range 1000 {
		d := effectsOf[Dispatch](b.arrive("Lookup"))[0]
		hedges += len(effectsOf[Dispatch](b.wait(50 * time.Millisecond)))
		b.answer(d, nil)
	}
	is.True(hedges <= 1000*hedgeRatio+maxTokens)
}

// TestSilentConnection guards against a silent connection that is never detected,
// and against a retry of once-only work that was sent on it.
func TestSilentConnection(t *testing.T) {
	for _, rank := range []string{"Lookup", "Post"} {
		t.Run(rank, func(t *testing.T) {
			is := is.New(t)
			b := newTestBench(t, testService(2), 1)
			b.warmUp(100, 2*time.Millisecond)
			silent := effectsOf[Dispatch](b.arrive(rank))[0]
			var closed []CloseIdle
			var retries []Dispatch
			for range 700 {
				b.node.services["S"].hedgeBudget.tokens = 0 // hedges would mask the silent connection
				sent := effectsOf[Dispatch](b.arrive("Lookup"))
				effects := b.wait(2 * time.Millisecond)
				for _, d := range sent {
					effects = append(effects, b.answer(d, nil)...)
				}
				closed = append(closed, effectsOf[CloseIdle](effects)...)
				for _, d := range effectsOf[Dispatch](effects) {
					if d.Attempt.Request == silent.Attempt.Request {
						retries = append(retries, d)
						b.answer(d, nil)
					}
				}
			}
			is.Equal(len(closed), 1)
			is.Equal(closed[0].Upstream, silent.Upstream)
			if rank == "Post" {
				is.Equal(len(retries), 0)
				return
			}
			is.Equal(len(retries), 1)
			is.True(retries[0].Fresh)
			is.True(retries[0].Upstream != silent.Upstream)
		})
	}
}

// TestLeaving guards against new work for a leaving upstream, whichever source
// reports it as leaving, and against the loss of a request in flight there.
func TestLeaving(t *testing.T) {
	const name = "u0002"
	s := testService(5)
	drained := s.Upstreams[2]
	drained.Draining = true
	list := func(leaving bool) []Host { return []Host{{Name: name, Role: "S", Leaving: leaving}} }
	tests := map[string]func(*testBench, Dispatch){
		"response": func(b *testBench, d Dispatch) { b.answer(d, func(a *UpstreamAnswered) { a.Draining = true }) },
		"refusal": func(b *testBench, d Dispatch) {
			b.answer(d, func(a *UpstreamAnswered) { a.NotRun, a.Draining = true, true })
		},
		"probe": func(b *testBench, _ Dispatch) {
			b.step(ProbeAnswered{Stamp: Stamp{b.now}, Service: "S", Upstream: name, OK: true, Draining: true})
		},
		"host list":     func(b *testBench, _ Dispatch) { b.step(HostsListed{Stamp{b.now}, list(true)}) },
		"configuration": func(b *testBench, _ Dispatch) { b.configure(patcher.PutUpstream{InService: "S", Upstream: drained}) },
	}
	for source, signal := range tests {
		t.Run(source, func(t *testing.T) {
			is := is.New(t)
			b := newTestBench(t, s, 1)
			var held []Dispatch
			var others []Dispatch
			for range 15 {
				d := effectsOf[Dispatch](b.arrive("Lookup"))[0]
				if d.Upstream == name {
					held = append(held, d)
				} else {
					others = append(others, d)
				}
			}
			is.True(len(held) >= 2)
			for _, d := range others {
				b.answer(d, nil)
			}
			signal(b, held[0])
			for range 300 {
				for _, d := range effectsOf[Dispatch](b.arrive("Lookup")) {
					is.True(d.Upstream != name)
					b.answer(d, nil)
				}
				b.wait(10 * time.Millisecond)
				if b.node.Upstreams("S")[2].State != balancer.Leaving {
					t.Fatal("upstream is not reported as leaving")
				}
			}
			b.step(HostsListed{Stamp{b.now}, list(false)}) // a list that never marked it as leaving must not end the drain
			if source != "host list" {
				is.Equal(b.node.Upstreams("S")[2].State, balancer.Leaving)
			}
			relayed := len(effectsOf[Relay](b.answer(held[1], nil)))
			is.Equal(relayed, 1)
		})
	}
}
