package driver

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/azuretrestle/azuretrestle/internal/balancer"
	"github.com/azuretrestle/azuretrestle/internal/dialer"
	"github.com/azuretrestle/azuretrestle/internal/reducer"
	"github.com/azuretrestle/azuretrestle/internal/router"
	"github.com/azuretrestle/azuretrestle/pkg/classifier"
	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

const (
	// maxRouteResponse bounds the response of an upstream, which is buffered whole, in bytes.
	maxRouteResponse = 16 << 20
	// defaultMaxBody bounds the body of a request if the operator sets no bound, in bytes.
	defaultMaxBody = 64 << 20
	// onceOnlyMaxIdle bounds the idle time of a connection that is used for a once-only
	// request, since the upstream may have closed a connection that was idle for longer.
	onceOnlyMaxIdle = 2 * time.Second
	// defaultRetryAfter is the time after which a refused caller may retry if no better one is known.
	defaultRetryAfter = 100 * time.Millisecond
	// unconfiguredRetryAfter is the time after which a caller may retry at an entry without a configuration.
	unconfiguredRetryAfter = 250 * time.Millisecond
)

// HeaderCodec parses and sets the headers of a managed deployment.
type HeaderCodec interface {
	// ParseRequest parses the headers of a caller's request; now is the time at which they were read.
	ParseRequest(h http.Header, now time.Time) RequestHead
	// SetForwardHeaders sets the headers of a request to an upstream.
	SetForwardHeaders(h http.Header, deadline, now time.Time, upstream string)
	// ParseResponse parses the status and the headers of an upstream's response; now is
	// the time at which they were read.
	ParseResponse(status int, h http.Header, now time.Time) ResponseHead
	// SetRefusalHeaders sets the headers of a refusal; after is the time after which the caller may retry.
	SetRefusalHeaders(h http.Header, after time.Duration)
}

// RequestHead holds the parsed headers of a caller's request.
type RequestHead struct {
	// ID is the caller's own identifier of the attempt.
	ID string
	// Deadline is the caller's deadline, zero if it states none.
	Deadline time.Time
}

// ResponseHead holds the information in the status and the headers of an upstream's response.
type ResponseHead struct {
	// ID identifies the request that the response belongs to.
	ID string
	// Signed is set if the response bears the upstream's signature.
	Signed bool
	// NotRun is set if the upstream states that it did not run the request.
	NotRun bool
	Report *balancer.Report
	// Upstream names the upstream that responded, empty if the response does not tell.
	Upstream string
	// Announcement is what the upstream to which the request was sent states about
	// itself. It is zero if another one responded.
	balancer.Announcement
}

// WithHeaderCodec makes the driver serve routes with the headers that c parses and sets.
func WithHeaderCodec(c HeaderCodec) Option { return func(d *Driver) { d.codec = c } }

// WithBodyMemory bounds the buffered bodies of all requests and responses together, in bytes.
func WithBodyMemory(limit int64) Option {
	return func(d *Driver) { d.bodyMemory = newBodyMemory(limit) }
}

// RouteHandler returns the HTTP interface for callers of a managed deployment,
// whose requests are routed by host and path.
func (d *Driver) RouteHandler() http.Handler { return http.HandlerFunc(d.serveRoute) }

func (d *Driver) serveRoute(w http.ResponseWriter, r *http.Request) {
	if !d.beginRequest() {
		panic(http.ErrAbortHandler)
	}
	defer d.work.Done()
	start := time.Now()
	head := d.codec.ParseRequest(r.Header, start)
	c := &call{request: r, callerRequestID: head.ID, onceOnly: true, reply: make(chan reply, 1)}
	route, service, code := d.matchRoute(r)
	if code != classifier.OK {
		d.writeReply(w, r, refuseRequest(code))
		d.metrics.observeRequest("", "", code, start)
		d.logRequest(c, route.Rank.Name, code, start)
		return
	}
	c.service = service
	c.route = route.Name
	c.onceOnly = route.Rank.Kind != patcher.Idempotent
	d.metrics.inFlight.Inc()
	defer d.metrics.inFlight.Dec()
	code = classifier.CallerGone
	defer func() {
		d.metrics.observeRequest(service, route.Rank.Name, code, start)
		d.logRequest(c, route.Rank.Name, code, start)
	}()
	defer c.release()
	if refused := d.readRouteBody(c, route.Rank); refused != classifier.OK {
		w.Header().Set("Connection", "close")
		code = d.writeReply(w, r, refuseRequest(refused))
		return
	}
	code = d.serveMatched(w, c, route.Rank, head.Deadline)
}

func (d *Driver) serveMatched(w http.ResponseWriter, c *call, rank patcher.Rank, deadline time.Time) classifier.Code {
	id := d.startCall(c, rank, deadline)
	d.runInline(c, id)
	select {
	case rep := <-c.reply:
		c.finalReply = rep
		return d.writeReply(w, c.request, rep)
	case <-c.request.Context().Done():
		d.abandonCall(id)
		panic(http.ErrAbortHandler)
	case <-d.ctx.Done():
		panic(http.ErrAbortHandler)
	}
}

func (d *Driver) matchRoute(r *http.Request) (router.Route, string, classifier.Code) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.node.Configured() {
		return router.Route{}, "", classifier.NotConfigured
	}
	route, service, ok := d.node.Match(r.Host, r.URL.Path)
	switch {
	case !ok:
		return router.Route{}, "", classifier.UnknownRoute
	case len(d.calls) >= maxCalls:
		return route, service, classifier.QueueFull
	default:
		return route, service, classifier.OK
	}
}

// readRouteBody buffers the whole body, so that it can be sent again.
func (d *Driver) readRouteBody(c *call, rank patcher.Rank) classifier.Code {
	c.replayable = true
	r := c.request
	if r.ContentLength == 0 {
		return classifier.OK
	}
	limit := rank.MaxBody
	if limit == 0 {
		limit = defaultMaxBody
	}
	if r.ContentLength > limit {
		return classifier.BodyTooLarge
	}
	c.buffered = d.bodyMemory.request()
	err := c.buffered.read(r.Body, r.ContentLength, limit+1)
	switch {
	case errors.Is(err, io.EOF):
		return classifier.OK
	case errors.Is(err, errMemoryLimit):
		return classifier.QueueFull
	case err == nil:
		return classifier.BodyTooLarge
	default:
		return classifier.MalformedRequest
	}
}

// managedPool returns the pool of an upstream of a managed deployment; d.mu is held.
func (d *Driver) managedPool(service string, address netip.AddrPort, limit int) *dialer.Pool {
	key := poolKey{service, address.String()}
	p, ok := d.managedPools[key]
	if !ok {
		p = dialer.New(address, limit)
		d.managedPools[key] = p
	}
	p.SetLimit(limit)
	return p
}

// readHealth requests the health and load of an upstream.
func (d *Driver) readHealth(ctx context.Context, e reducer.Probe) reducer.ProbeAnswered {
	ev := reducer.ProbeAnswered{Request: e.Request, Service: e.Service, Upstream: e.Upstream}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Address.String()+e.Path, http.NoBody)
	if err != nil {
		return ev
	}
	req.Header.Set("User-Agent", "")
	d.mu.Lock()
	p := d.managedPool(e.Service, e.Address, max(e.Connections, 1))
	d.mu.Unlock()
	resp, _, err := p.RoundTrip(req, dialer.RoundTripOptions{Match: d.namesNoRequest, Observe: d.observer(e.Service, e.Upstream, e.Born)})
	if err != nil {
		return ev
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxReport)); err != nil {
		return ev
	}
	head := d.codec.ParseResponse(resp.StatusCode, resp.Header, time.Now())
	ev.OK = resp.StatusCode == http.StatusOK
	ev.Report = head.Report
	return ev
}

// runRouteAttempt runs an attempt of a managed entry until its response or failure.
func (d *Driver) runRouteAttempt(e reducer.Dispatch, a *attempt) {
	defer func() {
		if p := recover(); p != nil {
			d.recordPanic(p)
			d.attemptFailed(e, a, balancer.FailureLost, true)
		}
	}()
	req := d.newRouteRequest(a.ctx, e, a.call)
	httpResp, sent, err := a.managedPool.RoundTrip(req, d.roundTripOptions(e, a.call)) //nolint:bodyclose // response.close closes it
	a.transfer = transfer{connection: connectionOf(sent), err: err}
	if err != nil {
		d.attemptFailed(e, a, failureOf(e, a, sent.Connected), sent.Bytes)
		return
	}
	resp := &response{
		attempt: a, status: httpResp.StatusCode, header: httpResp.Header,
		buffered: d.bodyMemory.response(), size: httpResp.ContentLength, rest: httpResp.Body,
	}
	if req.Method == http.MethodHead {
		resp.size = 0
	}
	err = resp.buffered.read(resp.rest, resp.size, maxRouteResponse)
	resp.complete = errors.Is(err, io.EOF)
	if !resp.complete || !d.usable(resp) {
		a.transfer.err = responseError(resp, err)
		failure := truncation(failureOf(e, a, true))
		resp.close()
		d.attemptFailed(e, a, failure, true)
		return
	}
	d.responseReady(e, resp)
}

// responseError returns why a response can't be relayed; err is how reading it ended.
func responseError(resp *response, err error) error {
	if resp.complete {
		return errUnusable
	}
	return err
}

// namesNoRequest matches responses to health checks, which name no request.
func (d *Driver) namesNoRequest(r *http.Response, _ bool) bool {
	return d.codec.ParseResponse(r.StatusCode, r.Header, time.Now()).ID == ""
}

// roundTripOptions returns the options of an attempt. An error that names no request is
// accepted only on a new connection: on a reused one it may be an earlier response that
// the upstream wrote once more.
func (d *Driver) roundTripOptions(e reducer.Dispatch, c *call) dialer.RoundTripOptions {
	options := dialer.RoundTripOptions{Fresh: e.Fresh, Observe: d.observer(e.Service, e.Upstream, e.Born)}
	if c.onceOnly {
		options.MaxIdle = onceOnlyMaxIdle
	}
	if c.callerRequestID != "" {
		options.Match = func(r *http.Response, reused bool) bool {
			id := d.codec.ParseResponse(r.StatusCode, r.Header, time.Now()).ID
			return id == c.callerRequestID || id == "" && !reused && r.StatusCode >= http.StatusBadRequest
		}
	} else {
		// Nothing could tell a late response to an earlier request from the one to this.
		options.Fresh = true
	}
	return options
}

// usable reports whether a response may be relayed to the caller. A success must
// bear the upstream's signature, and a status which tells the caller that its
// request did not run needs an explicit statement of the upstream.
func (d *Driver) usable(resp *response) bool {
	head := d.codec.ParseResponse(resp.status, resp.header, time.Now())
	if head.NotRun {
		return true
	}
	if resp.header.Get("Content-Encoding") != "" {
		return false
	}
	if resp.status < http.StatusMultipleChoices {
		return head.Signed
	}
	return !impliesNotRun(resp.status)
}

// impliesNotRun reports whether a status tells the caller that its request did not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// newRouteRequest returns the request to an upstream, with method, target and body unchanged.
func (d *Driver) newRouteRequest(ctx context.Context, e reducer.Dispatch, c *call) *http.Request {
	in := c.request
	req := &http.Request{
		Method: in.Method, URL: target(in), Host: in.Host,
		Header: make(http.Header, len(in.Header)+2),
	}
	copyHeaders(req.Header, in.Header)
	delete(req.Header, "Expect")
	delete(req.Header, "Content-Length")
	d.codec.SetForwardHeaders(req.Header, e.Deadline, time.Now(), e.Upstream)
	if _, ok := req.Header["User-Agent"]; !ok {
		// An empty value keeps net/http from adding its own.
		req.Header["User-Agent"] = []string{""}
	}
	if len(c.buffered.body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(c.buffered.body))
		req.ContentLength = int64(len(c.buffered.body))
	}
	return req.WithContext(ctx)
}

// target returns a URL that net/http writes as the request target that the caller sent.
func target(in *http.Request) *url.URL {
	if strings.HasPrefix(in.RequestURI, "/") && !strings.HasPrefix(in.RequestURI, "//") {
		return &url.URL{Opaque: in.RequestURI}
	}
	return in.URL
}

// refuseRoute writes a refusal. Only a request that certainly did not run gets a
// status that says so.
func (d *Driver) refuseRoute(w http.ResponseWriter, e reducer.Refuse) {
	w.Header().Set(headerCode, e.Code.String())
	status := http.StatusBadGateway
	switch {
	case e.Code == classifier.UnknownRoute || e.Code == classifier.BodyTooLarge || e.Code == classifier.MalformedRequest:
		status = e.Code.Status()
	case e.Outcome == classifier.OutcomeNotRun:
		status = http.StatusServiceUnavailable
		d.codec.SetRefusalHeaders(w.Header(), retryAfter(e, time.Now()))
	case e.Code == classifier.UpstreamTimeout || e.Code == classifier.DeadlinePassed:
		status = http.StatusGatewayTimeout
	}
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
}

func retryAfter(e reducer.Refuse, now time.Time) time.Duration {
	switch {
	case !e.RetryAt.IsZero():
		return max(e.RetryAt.Sub(now), 0)
	case e.Code == classifier.NotConfigured:
		return unconfiguredRetryAfter
	default:
		return defaultRetryAfter
	}
}
