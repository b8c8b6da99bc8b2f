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

// firstAttemptValue is the value of headerAttempt with which a caller states that it never sent the key before.
const firstAttemptValue = "1"

// attempt is one request to an upstream.
type attempt struct {
	id     reducer.AttemptID
	call   *call
	pool   *pool
	ctx    context.Context
	cancel context.CancelFunc
	// deadlineTimer cancels the attempt at its deadline. It is stopped once a response is ready.
	deadlineTimer *time.Timer
	// response is set before it is reported to the node; guarded by the driver's mu.
	response *response
	// managedPool is set in place of pool for a managed entry.
	managedPool *dialer.Pool
	// transfer belongs to the goroutine of the attempt, which copies it to trace at the end.
	transfer transfer
	// trace is guarded by the driver's mu.
	trace attemptTrace
}

// dispatch starts an attempt; d.mu is held.
func (d *Driver) dispatch(e reducer.Dispatch) {
	c, ok := d.calls[e.Attempt.Request]
	if !ok {
		return
	}
	a := &attempt{id: e.Attempt, call: c, trace: newTrace(e)}
	run := func() { d.runAttempt(e, a) }
	if d.codec != nil {
		a.managedPool = d.managedPool(e.Service, e.Address, e.Connections)
		run = func() { d.runRouteAttempt(e, a) }
	} else {
		a.pool = d.pool(e, e.Address.String())
	}
	a.ctx, a.cancel = context.WithCancel(d.ctx)
	a.deadlineTimer = time.AfterFunc(time.Until(e.Deadline), a.cancel)
	d.attempts[e.Attempt] = a
	c.attempts = append(c.attempts, a)
	if c.arriving && c.inline == nil {
		c.inline = run
		c.inlineAttempt = a
		return
	}
	d.spawn(run)
}

// runAttempt runs an attempt until its response or failure.
func (d *Driver) runAttempt(e reducer.Dispatch, a *attempt) {
	defer func() {
		if p := recover(); p != nil {
			d.recordPanic(p)
			d.attemptFailed(e, a, balancer.FailureLost, true)
		}
	}()
	tracker, resp, err := d.exchange(e, a)
	if err != nil {
		connected := tracker.connected()
		sent := tracker.disableWrites()
		d.attemptFailed(e, a, failureOf(e, a, connected), sent)
		return
	}
	d.announce(reducer.UpstreamAnnounced{
		Service: e.Service, Upstream: e.Upstream, Born: e.Born,
		Announcement: balancer.Announcement{Leaving: resp.header.Get(headerDraining) != ""},
	})
	err = resp.buffered.read(resp.rest, resp.size, maxBufferedResponse)
	switch {
	case errors.Is(err, io.EOF):
		resp.complete = true
	case err != nil && !errors.Is(err, errMemoryLimit):
		// The cause is determined first, since closing the response cancels the attempt.
		failure := truncation(failureOf(e, a, true))
		resp.close()
		d.attemptFailed(e, a, failure, true)
		return
	}
	d.responseReady(e, resp)
}

// truncation maps a lost connection to a truncated response.
func truncation(f balancer.Failure) balancer.Failure {
	if f == balancer.FailureLost {
		return balancer.FailureTruncated
	}
	return f
}

// exchange sends the request and returns the response. If a once-only request got a
// stale connection, on which writes were disabled before any byte of it was written,
// the request is sent on a fresh one.
func (d *Driver) exchange(e reducer.Dispatch, a *attempt) (*connTracker, *response, error) {
	tracker, resp, err := d.roundTrip(e, a, e.Fresh)
	if err == nil || !tracker.gotStale || tracker.disableWrites() || a.ctx.Err() != nil {
		return tracker, resp, err
	}
	return d.roundTrip(e, a, true)
}

func (d *Driver) roundTrip(e reducer.Dispatch, a *attempt, fresh bool) (*connTracker, *response, error) {
	tracker := &connTracker{onceOnly: a.call.onceOnly}
	req, err := d.newUpstreamRequest(tracker.context(a.ctx), e, a.call)
	if err != nil {
		return tracker, nil, err
	}
	httpResp, err := a.pool.transportFor(fresh).RoundTrip(req) //nolint:bodyclose // response.close closes it
	if err != nil {
		return tracker, nil, err
	}
	return tracker, &response{
		attempt: a, status: httpResp.StatusCode, header: httpResp.Header,
		buffered: d.bodyMemory.response(), size: httpResp.ContentLength, rest: httpResp.Body,
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

// attemptFailed reports an attempt without a response to the node. If reading the
// caller's body failed, the call ends instead, since the upstream is not at fault.
func (d *Driver) attemptFailed(e reducer.Dispatch, a *attempt, f balancer.Failure, sent bool) {
	a.deadlineTimer.Stop()
	a.cancel()
	a.releasePool()
	d.metrics.observeAttempt(e.Service, e.Upstream, f)
	d.mu.Lock()
	defer d.mu.Unlock()
	a.trace.transfer = a.transfer
	a.trace.end(resultLabels[f], sent)
	d.metrics.observeNotRun(&a.trace)
	delete(d.attempts, a.id)
	if code := a.call.upload.code(); code != classifier.OK && !a.call.ended {
		out := reducer.Refuse{ID: a.id.Request, Code: code, Outcome: classifier.OutcomeNotRun}
		if sent {
			out.Outcome = classifier.OutcomeUnknown
		}
		d.sendReply(a.id.Request, refusal{out})
		d.step(reducer.CallerDisconnected{Stamp: stamp(), ID: a.id.Request})
		return
	}
	d.step(reducer.AttemptFailed{Stamp: stamp(), Attempt: a.id, Failure: f, Sent: sent})
}

// releasePool lets a retired pool close the connection of the attempt.
func (a *attempt) releasePool() {
	if a.pool != nil {
		a.pool.closeIdleIfRetired()
	}
}

// responseReady reports a response to the node. The response is kept until the
// node relays it, cancels the attempt or ends the call.
func (d *Driver) responseReady(e reducer.Dispatch, resp *response) {
	a := resp.attempt
	a.deadlineTimer.Stop()
	d.metrics.observeAttempt(e.Service, e.Upstream, balancer.FailureNone)
	ev := reducer.UpstreamAnswered{Attempt: a.id, Status: resp.status, Whole: resp.complete}
	if d.codec != nil {
		head := d.codec.ParseResponse(resp.status, resp.header, time.Now())
		ev.NotRun = head.NotRun
		ev.Report = head.Report
		ev.Draining = head.Leaving
		a.transfer.unnamed = head.ID == ""
	} else {
		ev.NotRun = resp.header.Get(headerNotRun) != ""
		ev.Draining = resp.header.Get(headerDraining) != ""
		ev.Report = parseReport(resp.header.Get(headerLoad))
	}
	if e.StoreAnswer && resp.complete {
		ev.Body = resp.buffered.body
		ev.ContentType = resp.header.Get("Content-Type")
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.attempts[a.id] != a || a.call.ended {
		delete(d.attempts, a.id)
		d.discard(resp)
		return
	}
	a.response = resp
	a.trace.transfer = a.transfer
	a.trace.gotResponse(resp.status, ev.NotRun, ev.Draining)
	d.metrics.observeNotRun(&a.trace)
	ev.Stamp = stamp()
	d.step(ev)
	if ev.NotRun && a.response != nil && d.attempts[a.id] == a {
		d.dropAttempt(a)
	}
}

// dropAttempt removes an attempt and discards its response; d.mu is held.
func (d *Driver) dropAttempt(a *attempt) {
	delete(d.attempts, a.id)
	if resp := a.response; resp != nil {
		a.response = nil
		d.discard(resp)
	}
}

// discard closes a response that is not relayed, without blocking the step.
func (d *Driver) discard(resp *response) {
	if resp.complete || d.ctx.Err() != nil {
		resp.close()
		return
	}
	d.spawn(resp.close)
}

func (d *Driver) cancelAttempt(id reducer.AttemptID) {
	a, ok := d.attempts[id]
	if !ok {
		return
	}
	a.trace.end(resultLabels[balancer.FailureCancelled], true)
	a.cancel()
	d.dropAttempt(a)
}

func (d *Driver) relay(id reducer.AttemptID) {
	a, ok := d.attempts[id]
	if !ok || a.response == nil {
		return
	}
	delete(d.attempts, id)
	if !d.sendReply(id.Request, a.response) {
		d.dropAttempt(a)
	}
}

// parseReport parses a load report "InFlight Queued". It returns nil if the report is missing or malformed.
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

// opaqueBody hides the type of the body from net/http, which would otherwise retry
// a request that carries an idempotency key by itself. It is also used for the empty
// body of a once-only request, since net/http retries requests without a body.
type opaqueBody struct{ io.Reader }

func (opaqueBody) Close() error { return nil }

var errUploadClaimed = errors.New("request body was already streamed to another attempt")

func (d *Driver) newUpstreamRequest(ctx context.Context, e reducer.Dispatch, c *call) (*http.Request, error) {
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
	if err := d.setBody(req, c); err != nil {
		return nil, err
	}
	return req.WithContext(ctx), nil
}

// setBody sets the body of the request to the upstream.
func (d *Driver) setBody(req *http.Request, c *call) error {
	switch {
	case c.upload != nil:
		if !d.claimUpload(c) {
			return errUploadClaimed
		}
		req.Body = opaqueBody{io.MultiReader(bytes.NewReader(c.buffered.body), c.upload)}
		req.ContentLength = c.request.ContentLength
	case len(c.buffered.body) > 0:
		req.Body = opaqueBody{bytes.NewReader(c.buffered.body)}
		req.ContentLength = int64(len(c.buffered.body))
	case c.onceOnly:
		req.Body = opaqueBody{http.NoBody}
	default:
		req.Body = http.NoBody
	}
	return nil
}

// claimUpload claims the streamed body for an attempt. It returns false if an earlier
// attempt has claimed it.
func (d *Driver) claimUpload(c *call) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	claimed := c.uploadClaimed
	c.uploadClaimed = true
	return !claimed
}
