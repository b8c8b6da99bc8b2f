package reducer_test

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/azuretrestle/azuretrestle/internal/balancer"
	"github.com/azuretrestle/azuretrestle/internal/checker"
	"github.com/azuretrestle/azuretrestle/internal/reducer"
	"github.com/azuretrestle/azuretrestle/internal/versioner"
	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

func (h *host) readLog(e reducer.ReadLog) {
	asked := h.clock()
	if h.w.logFate != nil && h.w.logFate() == fateLost {
		h.later(10*time.Millisecond, func() { h.step(reducer.LogFailed{Stamp: h.stamp(), Stream: e.Stream}) })
		return
	}
	h.later(time.Millisecond+h.w.logDelay, func() {
		tail := uint64(len(h.w.records))
		ev := reducer.LogRead{Stamp: h.stamp(), Stream: e.Stream, AskedAt: asked, First: h.w.expired, Next: tail, Tail: tail}
		if from := max(e.From, h.w.expired); from < tail && e.Stream == versioner.Stream {
			ev.Records = slices.Clone(h.w.records[from:])
		}
		h.step(ev)
	})
}

func (h *host) append(e reducer.Append) {
	what := fateOK
	if h.w.logFate != nil {
		what = h.w.logFate()
	}
	done := reducer.AppendFinished{Stream: e.Stream, ID: e.ID}
	if what != fateLost && e.Stream == versioner.Stream {
		done.Offset = uint64(len(h.w.records))
		done.OK = what != fateCut
		h.w.records = append(h.w.records, reducer.Record{Offset: done.Offset, Payload: e.Payload})
	}
	h.later(time.Millisecond+h.w.logDelay, func() {
		done.Stamp = h.stamp()
		h.step(done)
	})
}

func (h *host) dispatch(e reducer.Dispatch) {
	if h.calls[e.Attempt.Request] == nil {
		return
	}
	h.attempts[e.Attempt] = true
	what := fateOK
	if h.w.attemptFate != nil {
		what = h.w.attemptFate(e)
	}
	if what == fateUnsent {
		h.failed(e, time.Millisecond, balancer.FailureDial, false)
		return
	}
	if what == fateCut {
		h.failed(e, time.Millisecond, balancer.FailureLost, true)
		return
	}
	travel := time.Millisecond
	if what == fateLate {
		travel = 3 * time.Second
	}
	incarnation := h.incarnation
	h.w.after(travel, func() { h.atUpstream(e, incarnation, what) })
	h.failed(e, max(0, e.Deadline.Sub(h.clock())), balancer.FailureTimeout, true)
}

// atUpstream runs an attempt unless its deadline has passed or the upstream sheds it.
func (h *host) atUpstream(e reducer.Dispatch, incarnation uint64, what fate) {
	w := h.w
	if what == fateShed || !w.now.Before(e.Deadline) {
		h.answered(e, incarnation, time.Millisecond, reducer.UpstreamAnswered{Status: 503, NotRun: true, Whole: true})
		return
	}
	w.trace = append(w.trace, checker.Run{
		At: w.now, Node: h.name, Incarnation: incarnation, Attempt: e.Attempt, Upstream: e.Upstream,
	})
	answer := reducer.UpstreamAnswered{
		Status: 200, Whole: true, ContentType: "text/plain", Draining: w.draining[e.Upstream],
		Body: fmt.Appendf(nil, "%s %s.%d %v", e.Upstream, h.name, incarnation, e.Attempt),
	}
	service := 5 * time.Millisecond
	switch what {
	case fateSilent:
		return
	case fateRanCut:
		if h.incarnation == incarnation {
			h.failed(e, service, balancer.FailureLost, true)
		}
		return
	case fateSlow:
		service *= 20
	case fateLarge:
		answer.Whole = false
		answer.Body = nil
	}
	h.answered(e, incarnation, service, answer)
}

func (h *host) answered(e reducer.Dispatch, incarnation uint64, d time.Duration, ev reducer.UpstreamAnswered) {
	if h.incarnation != incarnation {
		return
	}
	h.later(d, func() {
		if !h.attempts[e.Attempt] {
			return
		}
		delete(h.attempts, e.Attempt)
		ev.Stamp = h.stamp()
		ev.Attempt = e.Attempt
		_, waiting := h.calls[e.Attempt.Request]
		h.step(ev)
		if !ev.Whole && waiting {
			h.later(time.Millisecond, func() {
				h.step(reducer.UpstreamFinished{Stamp: h.stamp(), Attempt: e.Attempt})
			})
		}
	})
}

func (h *host) failed(e reducer.Dispatch, d time.Duration, f balancer.Failure, sent bool) {
	h.later(d, func() {
		if !h.attempts[e.Attempt] {
			return
		}
		delete(h.attempts, e.Attempt)
		h.step(reducer.AttemptFailed{Stamp: h.stamp(), Attempt: e.Attempt, Failure: f, Sent: sent})
	})
}

// setup returns the patch that configures service S with three ranks and three upstreams.
func setup() patcher.Patch {
	p := func(d time.Duration) patcher.Period { return patcher.Period{Duration: d} }
	s := patcher.Service{Name: "S", MaxEntries: 8, MeasuringBudget: 60}
	for i, r := range []patcher.Rank{
		{Name: "Lookup", Kind: patcher.Idempotent, Floor: 0.2},
		{Name: "Once", Kind: patcher.OnceOnly, Floor: 0.2},
		{Name: "Upload", Kind: patcher.Idempotent, Floor: 0.1},
	} {
		r.Urgency = i
		r.Target = p(50 * time.Millisecond)
		r.Patience = p(time.Second)
		r.MaxQueue = 4
		r.MaxBody = 1 << 20
		s.Ranks = append(s.Ranks, r)
	}
	for i := range 3 {
		s.Upstreams = append(s.Upstreams, patcher.Upstream{
			Name: fmt.Sprintf("u%d", i), Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(9000+i)),
			DataCentre: "da", Slots: 2, Connections: 10,
		})
	}
	return patcher.Patch{ID: "setup", Operations: []patcher.Operation{patcher.PutService{Service: s}}}
}

// configure writes the first configuration to the log and starts all hosts.
func (w *world) configure() {
	payload, err := versioner.Encode(setup())
	if err != nil {
		panic(err)
	}
	w.records = append(w.records, reducer.Record{Payload: payload})
	for _, h := range w.hosts {
		h.start()
	}
	w.introduceAll()
	w.runUntil(w.now.Add(2 * time.Second))
	w.introduceAll()
}
