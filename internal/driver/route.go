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
	// maxRouteAnswer bounds an upstream's answer that is held, in bytes.
	maxRouteAnswer = 16 << 20
	// defaultBody bounds the body of a request if the operator names no bound, in bytes.
	defaultBody = 64 << 20
	// unrepeatableIdle bounds the time that a connection was unused before it carries
	// a request that must not run twice: the upstream may have closed it.
	unrepeatableIdle = 2 * time.Second
	// defaultRetry is when a refused caller may come back if nothing better is known.
	defaultRetry = 100 * time.Millisecond
	// startRetry is when a caller may come back to an entry without a configuration.
	startRetry = 250 * time.Millisecond
)

// Wire reads and writes the headers of a managed deployment.
type Wire interface {
	// Request reads what a caller says of its request; now is the time at which it was read.
	Request(h http.Header, now time.Time) RequestHead
	// Forward adds the headers that an upstream gets.
	Forward(h http.Header, deadline, now time.Time, upstream string)
	// Answer reads what an upstream says with its answer.
	Answer(status int, h http.Header) AnswerHead
	// Refuse adds the time after which a refused caller may come back.
	Refuse(h http.Header, after time.Duration)
}

// RequestHead is what a caller says of its request.
type RequestHead struct {
	// ID is the caller's own name of the attempt.
	ID string
	// Deadline is when the caller gives up; zero if it does not say.
	Deadline time.Time
}

// AnswerHead is what an upstream says with its answer.
type AnswerHead struct {
	// ID names the request that is answered.
	ID string
	// Signed is set if the answer bears the upstream's signature.
	Signed bool
	// NotRun is set if the upstream states that it did not run the request.
	NotRun bool
	Report *balancer.Report
}

// WithWire makes the driver serve routes with the given headers.
func WithWire(w Wire) Option { return func(d *Driver) { d.wire = w } }

// WithMemory bounds the bodies held by all requests and answers together, in bytes.
func WithMemory(limit int64) Option { return func(d *Driver) { d.memory.limit = limit } }

// RouteHandler returns the interface for callers of a managed deployment, whose
// requests are told apart by host and path.
func (d *Driver) RouteHandler() http.Handler { return http.HandlerFunc(d.serveRoute) }

func (d *Driver) serveRoute(w http.ResponseWriter, r *http.Request) {
	if !d.enter() {
		panic(http.ErrAbortHandler)
	}
	defer d.work.Done()
	begun := time.Now()
	head := d.wire.Request(r.Header, begun)
	c := &call{request: r, id: head.ID, onceOnly: true, reply: make(chan reply, 1)}
	route, service, code := d.match(r)
	if code != classifier.OK {
		d.write(w, r, refuseRequest(code))
		d.metrics.count("", "", code, begun)
		d.explain(c, route.Rank.Name, code, begun)
		return
	}
	c.service = service
	c.route = route.Name
	c.onceOnly = route.Rank.Kind != patcher.Idempotent
	d.metrics.inFlight.Inc()
	defer d.metrics.inFlight.Dec()
	code = classifier.CallerGone
	defer func() {
		d.metrics.count(service, route.Rank.Name, code, begun)
		d.explain(c, route.Rank.Name, code, begun)
	}()
	defer c.release()
	if refused := d.readRouteBody(c, route.Rank); refused != classifier.OK {
		w.Header().Set("Connection", "close")
		code = d.write(w, r, refuseRequest(refused))
		return
	}
	code = d.serveMatched(w, c, route.Rank, head.Deadline)
}

func (d *Driver) serveMatched(w http.ResponseWriter, c *call, rank patcher.Rank, deadline time.Time) classifier.Code {
	id := d.arrive(c, rank, deadline)
	d.runInline(c, id)
	select {
	case rep := <-c.reply:
		c.ending = rep
		return d.write(w, c.request, rep)
	case <-c.request.Context().Done():
		d.abandon(id)
		panic(http.ErrAbortHandler)
	case <-d.ctx.Done():
		panic(http.ErrAbortHandler)
	}
}

func (d *Driver) match(r *http.Request) (router.Route, string, classifier.Code) {
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

// readRouteBody holds the whole body, so that it can be sent again.
func (d *Driver) readRouteBody(c *call, rank patcher.Rank) classifier.Code {
	c.replayable = true
	r := c.request
	if r.ContentLength == 0 {
		return classifier.OK
	}
	limit := rank.MaxBody
	if limit == 0 {
		limit = defaultBody
	}
	if r.ContentLength > limit {
		return classifier.BodyTooLarge
	}
	c.held.memory = &d.memory
	err := c.held.read(r.Body, r.ContentLength, limit+1)
	switch {
	case errors.Is(err, io.EOF):
		return classifier.OK
	case errors.Is(err, errMemory):
		return classifier.QueueFull
	case err == nil:
		return classifier.BodyTooLarge
	default:
		return classifier.MalformedRequest
	}
}

// connections returns the connections to an upstream; d.mu is held.
func (d *Driver) connections(service string, address netip.AddrPort, limit int) *dialer.Pool {
	key := poolKey{service, address.String()}
	p, ok := d.conns[key]
	if !ok {
		p = dialer.New(address, limit)
		d.conns[key] = p
	}
	p.SetLimit(limit)
	return p
}

// readHealth asks an upstream for its health and load.
func (d *Driver) readHealth(ctx context.Context, e reducer.Probe) reducer.ProbeAnswered {
	ev := reducer.ProbeAnswered{Request: e.Request, Service: e.Service, Upstream: e.Upstream}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Address.String()+e.Path, http.NoBody)
	if err != nil {
		return ev
	}
	req.Header.Set("User-Agent", "")
	d.mu.Lock()
	p := d.connections(e.Service, e.Address, max(e.Connections, 1))
	d.mu.Unlock()
	resp, _, err := p.RoundTrip(req, dialer.Need{})
	if err != nil {
		return ev
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxReport)); err != nil {
		return ev
	}
	head := d.wire.Answer(resp.StatusCode, resp.Header)
	ev.OK = resp.StatusCode == http.StatusOK
	ev.Report = head.Report
	return ev
}

// tryRoute runs an attempt to its answer or failure.
func (d *Driver) tryRoute(e reducer.Dispatch, a *attempt) {
	defer func() {
		if p := recover(); p != nil {
			d.panicked(p)
			d.failed(e, a, balancer.FailureLost, true)
		}
	}()
	req := d.forward(a.ctx, e, a.call)
	resp, sent, err := a.conns.RoundTrip(req, d.need(e, a.call)) //nolint:bodyclose // answer.close closes it
	if err != nil {
		d.failed(e, a, failureOf(e, a, sent.Connected), sent.Bytes)
		return
	}
	ans := &answer{
		attempt: a, status: resp.StatusCode, header: resp.Header,
		held: holding{memory: &d.memory}, size: resp.ContentLength, rest: resp.Body,
	}
	if req.Method == http.MethodHead {
		ans.size = 0
	}
	err = ans.held.read(ans.rest, ans.size, maxRouteAnswer)
	ans.whole = errors.Is(err, io.EOF)
	if !ans.whole || !d.usable(ans) {
		failure := truncation(failureOf(e, a, true))
		ans.close()
		d.failed(e, a, failure, true)
		return
	}
	d.answered(e, ans)
}

func (d *Driver) need(e reducer.Dispatch, c *call) dialer.Need {
	need := dialer.Need{Fresh: e.Fresh}
	if c.onceOnly {
		need.MaxIdle = unrepeatableIdle
	}
	if c.id != "" {
		need.Match = func(r *http.Response) bool {
			id := d.wire.Answer(r.StatusCode, r.Header).ID
			return id == "" && r.StatusCode >= http.StatusBadRequest || id == c.id
		}
	}
	return need
}

// usable reports whether an answer may be given to the caller. A success needs
// the upstream's signature, and a status that tells the caller that its request
// did not run needs the upstream's word.
func (d *Driver) usable(ans *answer) bool {
	head := d.wire.Answer(ans.status, ans.header)
	if head.NotRun {
		return true
	}
	if ans.header.Get("Content-Encoding") != "" {
		return false
	}
	if ans.status < http.StatusMultipleChoices {
		return head.Signed
	}
	return !promises(ans.status)
}

// promises reports whether a status tells the caller that its request did not run.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// forward returns the request that an upstream gets: method, target and body unchanged.
func (d *Driver) forward(ctx context.Context, e reducer.Dispatch, c *call) *http.Request {
	in := c.request
	req := &http.Request{
		Method: in.Method, URL: target(in), Host: in.Host,
		Header: make(http.Header, len(in.Header)+2),
	}
	copyHeaders(req.Header, in.Header)
	delete(req.Header, "Expect")
	delete(req.Header, "Content-Length")
	d.wire.Forward(req.Header, e.Deadline, time.Now(), e.Upstream)
	if _, ok := req.Header["User-Agent"]; !ok {
		// An empty value keeps net/http from adding its own.
		req.Header["User-Agent"] = []string{""}
	}
	if len(c.held.body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(c.held.body))
		req.ContentLength = int64(len(c.held.body))
	}
	return req.WithContext(ctx)
}

// target returns a URL that is written exactly as the caller sent it.
func target(in *http.Request) *url.URL {
	if strings.HasPrefix(in.RequestURI, "/") && !strings.HasPrefix(in.RequestURI, "//") {
		return &url.URL{Opaque: in.RequestURI}
	}
	return in.URL
}

// refuseRoute tells a caller that its request failed. Only a request that
// certainly did not run gets a status that promises so.
func (d *Driver) refuseRoute(w http.ResponseWriter, e reducer.Refuse) {
	w.Header().Set(headerCode, e.Code.String())
	status := http.StatusBadGateway
	switch {
	case e.Code == classifier.UnknownRoute || e.Code == classifier.BodyTooLarge || e.Code == classifier.MalformedRequest:
		status = e.Code.Status()
	case e.Outcome == classifier.OutcomeNotRun:
		status = http.StatusServiceUnavailable
		d.wire.Refuse(w.Header(), retryAfter(e, time.Now()))
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
		return startRetry
	default:
		return defaultRetry
	}
}
