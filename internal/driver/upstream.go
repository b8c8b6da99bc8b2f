package driver

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/azuretrestle/azuretrestle/internal/balancer"
	"github.com/azuretrestle/azuretrestle/internal/reducer"
)

// maxHeld bounds the part of an answer that is held before it is relayed, in bytes.
const maxHeld = 256 << 10

// Headers between entries and upstreams.
const (
	headerDeadline = "Azuretrestle-Deadline"
	headerLoad     = "Azuretrestle-Load"
	headerDraining = "Azuretrestle-Draining"
	headerNotRun   = "Azuretrestle-Not-Run"
	headerKey      = "Idempotency-Key"
)

// attempt is one request to an upstream.
type attempt struct {
	cancel context.CancelFunc
	// answer is set before the node hears of it, and nil once the caller has it.
	answer *answer
}

// answer is an upstream's response, of which the first part is held.
type answer struct {
	id     reducer.AttemptID
	status int
	header http.Header
	held   []byte
	whole  bool
	rest   io.ReadCloser
	cancel context.CancelFunc
}

func (a *answer) close() {
	_ = a.rest.Close()
	a.cancel()
}

func (d *Driver) dispatch(e reducer.Dispatch) {
	c, ok := d.calls[e.Attempt.Request]
	if !ok {
		return
	}
	ctx, cancel := context.WithDeadline(d.ctx, e.Deadline)
	d.attempts[e.Attempt] = &attempt{cancel: cancel}
	transport := d.transport(e)
	d.spawn(func() { d.try(ctx, cancel, e, c, transport) })
}

// transport returns the connection pool of an upstream; d.mu is held.
func (d *Driver) transport(e reducer.Dispatch) *http.Transport {
	key := e.Service + "/" + e.Address.String()
	t, ok := d.pools[key]
	if !ok {
		t = &http.Transport{
			MaxConnsPerHost:     e.Connections,
			MaxIdleConnsPerHost: e.Connections,
			IdleConnTimeout:     time.Minute,
			DisableCompression:  true,
		}
		d.pools[key] = t
	}
	return t
}

func (d *Driver) try(ctx context.Context, cancel context.CancelFunc, e reducer.Dispatch, c *call, t *http.Transport) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := c.outgoing(ctx, e)
	if err != nil {
		cancel()
		d.failed(e.Attempt, balancer.FailureDial, false)
		return
	}
	resp, err := t.RoundTrip(req)
	if err != nil {
		failure := failureOf(ctx, connected.Load())
		cancel()
		d.failed(e.Attempt, failure, connected.Load())
		return
	}
	held, err := io.ReadAll(io.LimitReader(resp.Body, maxHeld))
	if err != nil {
		_ = resp.Body.Close()
		cancel()
		d.failed(e.Attempt, balancer.FailureTruncated, true)
		return
	}
	d.answered(&answer{
		id: e.Attempt, status: resp.StatusCode, header: resp.Header,
		held: held, whole: len(held) < maxHeld, rest: resp.Body, cancel: cancel,
	})
}

func failureOf(ctx context.Context, connected bool) balancer.Failure {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return balancer.FailureTimeout
	}
	if ctx.Err() != nil {
		return balancer.FailureCancelled
	}
	if !connected {
		return balancer.FailureDial
	}
	return balancer.FailureLost
}

func (d *Driver) failed(id reducer.AttemptID, f balancer.Failure, sent bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.attempts, id)
	d.step(reducer.AttemptFailed{Stamp: stamp(), Attempt: id, Failure: f, Sent: sent})
}

// answered offers an answer to the node and drops it unless the node relays it.
func (d *Driver) answered(a *answer) {
	d.mu.Lock()
	at, ok := d.attempts[a.id]
	delete(d.attempts, a.id)
	if ok {
		at.answer = a
		d.attempts[a.id] = at
		d.step(reducer.UpstreamAnswered{
			Stamp: stamp(), Attempt: a.id, Status: a.status, Whole: a.whole,
			NotRun:   a.header.Get(headerNotRun) != "",
			Draining: a.header.Get(headerDraining) != "",
			Report:   parseReport(a.header.Get(headerLoad)),
		})
		delete(d.attempts, a.id)
	}
	taken := ok && at.answer == nil
	d.mu.Unlock()
	if !taken {
		a.close()
	}
}

func (d *Driver) cancelAttempt(id reducer.AttemptID) {
	if a, ok := d.attempts[id]; ok {
		delete(d.attempts, id)
		a.cancel()
	}
}

func (d *Driver) relay(id reducer.AttemptID) {
	a, ok := d.attempts[id]
	if !ok || a.answer == nil {
		return
	}
	if d.end(id.Request, a.answer) {
		a.answer = nil
	}
}

// parseReport reads "InFlight Queued"; nil if the header is missing or malformed.
func parseReport(s string) *balancer.Report {
	inFlight, queued, ok := strings.Cut(s, " ")
	if !ok {
		return nil
	}
	f, err := strconv.Atoi(inFlight)
	if err != nil {
		return nil
	}
	q, err := strconv.Atoi(queued)
	if err != nil {
		return nil
	}
	return &balancer.Report{InFlight: f, Queued: q}
}

// onceBody hides the type of the body from net/http, which would otherwise
// repeat a request that carries an idempotency key by itself.
type onceBody struct{ io.Reader }

func (onceBody) Close() error { return nil }

func (c *call) outgoing(ctx context.Context, e reducer.Dispatch) (*http.Request, error) {
	u := "http://" + e.Address.String() + c.path
	req, err := http.NewRequestWithContext(ctx, c.request.Method, u, http.NoBody)
	if err != nil {
		return nil, err
	}
	copyHeaders(req.Header, c.request.Header)
	req.Header.Set(headerDeadline, e.Deadline.UTC().Format(time.RFC3339Nano))
	if c.body != nil {
		req.Body = onceBody{bytes.NewReader(c.body)}
		req.ContentLength = int64(len(c.body))
	} else if c.request.Body != nil && c.request.Body != http.NoBody {
		req.Body = onceBody{c.request.Body}
		req.ContentLength = c.request.ContentLength
	}
	return req, nil
}
