package driver

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/azuretrestle/azuretrestle/internal/balancer"
	"github.com/azuretrestle/azuretrestle/internal/dialer"
	"github.com/azuretrestle/azuretrestle/internal/reducer"
	"github.com/azuretrestle/azuretrestle/pkg/classifier"
)

// Headers between callers, entries and upstreams, in the form of http.CanonicalHeaderKey.
const (
	headerDeadline = "Azuretrestle-Deadline"
	headerLoad     = "Azuretrestle-Load"
	headerDraining = "Azuretrestle-Draining"
	headerNotRun   = "Azuretrestle-Not-Run"
	headerAttempt  = "Azuretrestle-Attempt"
	headerCode     = "Azuretrestle-Code"
	headerOutcome  = "Azuretrestle-Outcome"
	headerStored   = "Azuretrestle-Stored"
	headerKey      = "Idempotency-Key"
)

// firstAttempt is the value of headerAttempt by which a caller vouches that it never sent the key before.
const firstAttempt = "1"

// attempt is one request to an upstream.
type attempt struct {
	id     reducer.AttemptID
	call   *call
	pool   *pool
	ctx    context.Context
	cancel context.CancelFunc
	// late cancels the attempt at its deadline, until its answer is relayed.
	late *time.Timer
	// answer is set before the node hears of it; guarded by the driver's mu.
	answer *answer
	// conns is set in place of pool for a managed entry.
	conns *dialer.Pool
	trace attemptTrace
}

// dispatch starts an attempt; d.mu is held.
func (d *Driver) dispatch(e reducer.Dispatch) {
	c, ok := d.calls[e.Attempt.Request]
	if !ok {
		return
	}
	a := &attempt{id: e.Attempt, call: c, trace: newTrace(e)}
	run := func() { d.try(e, a) }
	if d.wire != nil {
		a.conns = d.connections(e.Service, e.Address, e.Connections)
		run = func() { d.tryRoute(e, a) }
	} else {
		a.pool = d.pool(e, e.Address.String())
	}
	a.ctx, a.cancel = context.WithCancel(d.ctx)
	a.late = time.AfterFunc(time.Until(e.Deadline), a.cancel)
	d.attempts[e.Attempt] = a
	c.attempts = append(c.attempts, a)
	if c.arriving && c.inline == nil {
		c.inline = run
		c.own = a
		return
	}
	d.spawn(run)
}

// try runs an attempt to its answer or failure.
func (d *Driver) try(e reducer.Dispatch, a *attempt) {
	defer func() {
		if p := recover(); p != nil {
			d.panicked(p)
			d.failed(e, a, balancer.FailureLost, true)
		}
	}()
	w, ans, err := d.exchange(e, a)
	if err != nil {
		connected := w.connected()
		sent := w.settle()
		d.failed(e, a, failureOf(e, a, connected), sent)
		return
	}
	err = ans.held.read(ans.rest, ans.size, maxHeld)
	switch {
	case errors.Is(err, io.EOF):
		ans.whole = true
	case err != nil && !errors.Is(err, errMemory):
		// Closing the answer cancels the attempt, which would hide the cause.
		failure := truncation(failureOf(e, a, true))
		ans.close()
		d.failed(e, a, failure, true)
		return
	}
	d.answered(e, ans)
}

// truncation turns a lost connection into an answer that ended early.
func truncation(f balancer.Failure) balancer.Failure {
	if f == balancer.FailureLost {
		return balancer.FailureTruncated
	}
	return f
}

// exchange sends the request. If a once-only request met a connection that has
// been quiet, nothing was written and a fresh connection takes it.
func (d *Driver) exchange(e reducer.Dispatch, a *attempt) (*watch, *answer, error) {
	w, ans, err := d.roundTrip(e, a, e.Fresh)
	if err == nil || !w.quiet || w.settle() || a.ctx.Err() != nil {
		return w, ans, err
	}
	return d.roundTrip(e, a, true)
}

func (d *Driver) roundTrip(e reducer.Dispatch, a *attempt, fresh bool) (*watch, *answer, error) {
	w := &watch{onceOnly: a.call.onceOnly}
	req, err := d.outgoing(w.context(a.ctx), e, a.call)
	if err != nil {
		return w, nil, err
	}
	resp, err := a.pool.choose(fresh).RoundTrip(req) //nolint:bodyclose // answer.close closes it
	if err != nil {
		return w, nil, err
	}
	return w, &answer{
		attempt: a, status: resp.StatusCode, header: resp.Header,
		held: holding{memory: &d.memory}, size: resp.ContentLength, rest: resp.Body,
	}, nil
}

func failureOf(e reducer.Dispatch, a *attempt, connected bool) balancer.Failure {
	if a.ctx.Err() != nil {
		if !time.Now().Before(e.Deadline) {
			return balancer.FailureTimeout
		}
		return balancer.FailureCancelled
	}
	if !connected {
		return balancer.FailureDial
	}
	return balancer.FailureLost
}

// failed reports an attempt without an answer. If the caller's body broke off,
// the call ends, since that says nothing about the upstream.
func (d *Driver) failed(e reducer.Dispatch, a *attempt, f balancer.Failure, sent bool) {
	a.late.Stop()
	a.cancel()
	a.finished()
	d.metrics.attempt(e.Service, e.Upstream, f)
	d.mu.Lock()
	defer d.mu.Unlock()
	a.trace.end(results[f], sent)
	delete(d.attempts, a.id)
	if code := a.call.upload.code(); code != classifier.OK && !a.call.ended {
		out := reducer.Refuse{ID: a.id.Request, Code: code, Outcome: classifier.OutcomeNotRun}
		if sent {
			out.Outcome = classifier.OutcomeUnknown
		}
		d.end(a.id.Request, refusal{out})
		d.step(reducer.CallerGone{Stamp: stamp(), ID: a.id.Request})
		return
	}
	d.step(reducer.AttemptFailed{Stamp: stamp(), Attempt: a.id, Failure: f, Sent: sent})
}

// finished lets a retired pool close the connection of the attempt.
func (a *attempt) finished() {
	if a.pool != nil {
		a.pool.finished()
	}
}

// answered offers an answer to the node. It is kept until the node relays it,
// cancels the attempt or ends the call.
func (d *Driver) answered(e reducer.Dispatch, ans *answer) {
	a := ans.attempt
	a.late.Stop()
	d.metrics.attempt(e.Service, e.Upstream, balancer.FailureNone)
	ev := reducer.UpstreamAnswered{Attempt: a.id, Status: ans.status, Whole: ans.whole}
	if d.wire != nil {
		head := d.wire.Answer(ans.status, ans.header)
		ev.NotRun = head.NotRun
		ev.Report = head.Report
	} else {
		ev.NotRun = ans.header.Get(headerNotRun) != ""
		ev.Draining = ans.header.Get(headerDraining) != ""
		ev.Report = parseReport(ans.header.Get(headerLoad))
	}
	if e.StoreAnswer && ans.whole {
		ev.Body = ans.held.body
		ev.ContentType = ans.header.Get("Content-Type")
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.attempts[a.id] != a || a.call.ended {
		delete(d.attempts, a.id)
		d.discard(ans)
		return
	}
	a.answer = ans
	a.trace.answered(ans.status, ev.NotRun)
	ev.Stamp = stamp()
	d.step(ev)
	if ev.NotRun && a.answer != nil && d.attempts[a.id] == a {
		d.drop(a)
	}
}

// drop forgets an attempt and its answer; d.mu is held.
func (d *Driver) drop(a *attempt) {
	delete(d.attempts, a.id)
	if ans := a.answer; ans != nil {
		a.answer = nil
		d.discard(ans)
	}
}

// discard closes an answer that nobody gets, without holding up the step.
func (d *Driver) discard(ans *answer) {
	if ans.whole || d.ctx.Err() != nil {
		ans.close()
		return
	}
	d.spawn(ans.close)
}

func (d *Driver) cancelAttempt(id reducer.AttemptID) {
	a, ok := d.attempts[id]
	if !ok {
		return
	}
	a.trace.end(results[balancer.FailureCancelled], true)
	a.cancel()
	d.drop(a)
}

func (d *Driver) relay(id reducer.AttemptID) {
	a, ok := d.attempts[id]
	if !ok || a.answer == nil {
		return
	}
	delete(d.attempts, id)
	if !d.end(id.Request, a.answer) {
		d.drop(a)
	}
}

// parseReport reads "InFlight Queued"; nil if it is missing or malformed.
func parseReport(s string) *balancer.Report {
	inFlight, queued, ok := strings.Cut(s, " ")
	if !ok {
		return nil
	}
	f, err := strconv.Atoi(inFlight)
	if err != nil || f < 0 {
		return nil
	}
	q, err := strconv.Atoi(queued)
	if err != nil || q < 0 {
		return nil
	}
	return &balancer.Report{InFlight: f, Queued: q}
}

// onceBody hides the type of the body from net/http, which would otherwise
// repeat a request that carries an idempotency key by itself. It is also used
// for an empty body, since net/http repeats requests without one.
type onceBody struct{ io.Reader }

func (onceBody) Close() error { return nil }

var errUploaded = errors.New("body was streamed to another attempt")

func (d *Driver) outgoing(ctx context.Context, e reducer.Dispatch, c *call) (*http.Request, error) {
	in := c.request
	host := e.Address.String()
	req := &http.Request{
		Method: in.Method,
		URL:    &url.URL{Scheme: "http", Host: host, Path: c.path, RawPath: c.rawPath, RawQuery: in.URL.RawQuery},
		Host:   host,
		Header: make(http.Header, len(in.Header)+2),
	}
	copyHeaders(req.Header, in.Header)
	req.Header[headerDeadline] = []string{e.Deadline.UTC().Format(time.RFC3339Nano)}
	if _, ok := req.Header["User-Agent"]; !ok {
		// An empty value keeps net/http from adding its own.
		req.Header["User-Agent"] = []string{""}
	}
	if err := d.attach(req, c); err != nil {
		return nil, err
	}
	return req.WithContext(ctx), nil
}

// attach gives the request its body.
func (d *Driver) attach(req *http.Request, c *call) error {
	switch {
	case c.upload != nil:
		if !d.takeUpload(c) {
			return errUploaded
		}
		req.Body = onceBody{io.MultiReader(bytes.NewReader(c.held.body), c.upload)}
		req.ContentLength = c.request.ContentLength
	case len(c.held.body) > 0:
		req.Body = onceBody{bytes.NewReader(c.held.body)}
		req.ContentLength = int64(len(c.held.body))
	case c.onceOnly:
		req.Body = onceBody{http.NoBody}
	default:
		req.Body = http.NoBody
	}
	return nil
}

func (d *Driver) takeUpload(c *call) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	taken := c.uploaded
	c.uploaded = true
	return !taken
}
