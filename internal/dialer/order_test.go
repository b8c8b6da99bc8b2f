package dialer

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"go.uber.org/goleak"
)

// endPoint is the point of an exchange at which its context ends.
type endPoint int

const (
	endWhileWriting endPoint = iota
	endWhenReceived
	endAtHead
	endAtDetach
	endWhenDelivered
	endWithinBody
	endAfterBody
	endNever
	endPointCount
)

func (p endPoint) String() string {
	return [...]string{
		"while writing", "when received", "at the head", "at the detach", "when delivered", "within the body", "after the body", "never",
	}[p]
}

// Responses of an orderUpstream to the first request. "%s" stands for its id.
const (
	responseEmpty = "HTTP/1.1 504 Gateway Timeout\r\nId: %s\r\nContent-Length: 0\r\n\r\n"
	responseBody  = "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 4\r\n\r\nbody"
	responseCut   = "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 9\r\n\r\nbody"
	responseNone  = ""
)

const (
	// settleTime is how long a test lets the goroutines of an exchange run.
	settleTime = 5 * time.Millisecond
	// holdTimeout bounds the wait for a request that may not come.
	holdTimeout = 30 * time.Millisecond
)

// hookedContext is a context that calls a test before a function is attached to it, after
// one was detached from it, and before its error is read.
type hookedContext struct {
	context.Context
	onAttach func()
	onDetach func()
	onErr    func()
}

func newHookedContext(ctx context.Context) *hookedContext {
	none := func() {}
	return &hookedContext{Context: ctx, onAttach: none, onDetach: none, onErr: none}
}

// Value hides the context within, so that AfterFunc is used.
func (*hookedContext) Value(any) any { return nil }

// AfterFunc is called by context.AfterFunc.
func (c *hookedContext) AfterFunc(f func()) func() bool {
	c.onAttach()
	stop := context.AfterFunc(c.Context, f)
	return func() bool {
		stopped := stop()
		c.onDetach()
		return stopped
	}
}

// Err returns the error of the context.
func (c *hookedContext) Err() error {
	err := c.Context.Err()
	if err != nil {
		c.onErr()
	}
	return err
}

// hookedBody is the body of a request that calls a function before it is read.
type hookedBody struct {
	io.Reader
	onRead func()
}

func (b *hookedBody) Read(p []byte) (int, error) {
	b.onRead()
	return b.Reader.Read(p)
}

// orderUpstream responds to the first request with the given response, and to the others
// with a body that names them.
type orderUpstream struct {
	response string
	// onReceived is called with the id of each request once it was read.
	onReceived func(id string)

	mu sync.Mutex
	// received holds the ids of the requests of which the head was read.
	received map[string]bool
}

func (u *orderUpstream) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		id := req.Header.Get("Id")
		u.mu.Lock()
		u.received[id] = true
		u.mu.Unlock()
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		u.onReceived(id)
		if id != "1" {
			_, _ = io.WriteString(c, okResponse(id, id))
			continue
		}
		if u.response == responseNone {
			return
		}
		_, _ = fmt.Fprintf(c, u.response, id)
		if u.response == responseCut {
			return
		}
	}
}

func (u *orderUpstream) hasReceived(id string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.received[id]
}

// order is an order of events: the context of an exchange ends at a point, and another
// request waits for its connection.
type order struct {
	point    endPoint
	response string
	// reused is set if the connection has carried a request before.
	reused bool
	// nextWritten is set if the other request has been written, not only been given the
	// connection, when the first one ends.
	nextWritten bool
}

// orderResult is what came of an order.
type orderResult struct {
	// received is set if the upstream received the first request, sent if it was reported as sent.
	received, sent bool
	// second is the error of the second request, nil if it got its own response.
	second error
	// open and openRetired count the connections at the end, before and after the pool retired.
	open, openRetired int
}

// eachOrder calls f with the result of each order.
func eachOrder(t *testing.T, f func(*is.I, orderResult)) {
	responses := map[string]string{"empty": responseEmpty, "body": responseBody, "cut": responseCut, "none": responseNone}
	for point := range endPointCount {
		for name, response := range responses {
			for _, reused := range []bool{false, true} {
				for _, nextWritten := range []bool{false, true} {
					t.Run(fmt.Sprintf("%s, %s, reused %t, next written %t", point, name, reused, nextWritten), func(t *testing.T) {
						is := is.New(t)
						o := order{point, response, reused, nextWritten}
						f(is, o.play(is))
					})
				}
			}
		}
	}
}

// TestSentInAllOrders guards against a request that the upstream received and that is
// reported as not sent, so that it would be refused with the promise that it has not run.
func TestSentInAllOrders(t *testing.T) {
	eachOrder(t, func(is *is.I, r orderResult) { is.True(r.sent || !r.received) })
}

// TestNextRequestInAllOrders guards against a connection that is closed under a request
// because an earlier one on it has ended.
func TestNextRequestInAllOrders(t *testing.T) {
	eachOrder(t, func(is *is.I, r orderResult) { is.NoErr(r.second) })
}

// TestEndInAllOrders guards against an exchange that keeps a goroutine or a connection after
// its end, or whose connection is not counted.
func TestEndInAllOrders(t *testing.T) {
	known := goleak.IgnoreCurrent()
	eachOrder(t, func(is *is.I, r orderResult) {
		is.Equal(r.open, 1)
		is.Equal(r.openRetired, 0)
	})
	goleak.VerifyNone(t, known)
}

// orderPlay is an order that is being played.
type orderPlay struct {
	order
	upstream *orderUpstream
	pool     *Pool
	ctx      context.Context
	// end ends the context of the first request.
	end func()
	// headRead is closed once the head of the first response was read, or the first request
	// has ended without one; taken is closed when the second request takes a connection, and
	// firstEnded when the first one has ended.
	headRead, taken, firstEnded chan struct{}
	headOnce, takeOnce          sync.Once
	second                      chan error
}

// play sends a request whose context ends at the point, and another one as soon as its
// connection is free.
func (o order) play(is *is.I) orderResult {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	inner, end := context.WithCancel(ctx)
	defer end()
	p := &orderPlay{
		order: o, ctx: ctx, end: end, second: make(chan error, 1),
		headRead: make(chan struct{}), taken: make(chan struct{}), firstEnded: make(chan struct{}),
	}
	defer p.start(is)()
	if o.reused {
		_, _, err := send(ctx, p.pool, "0")
		is.NoErr(err)
		awaitIdle(ctx, p.pool)
	}
	go p.sendSecond()
	sent := p.sendFirst(inner)
	r := orderResult{received: p.upstream.hasReceived("1"), sent: sent, second: <-p.second}
	if r.second == nil {
		awaitIdle(ctx, p.pool)
	}
	r.open = p.pool.Open()
	p.pool.Retire()
	for p.pool.Open() > 0 && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	r.openRetired = p.pool.Open()
	return r
}

// start starts the upstream and returns a function that stops it.
func (p *orderPlay) start(is *is.I) (stop func()) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	p.upstream = &orderUpstream{response: p.response, onReceived: p.received, received: make(map[string]bool)}
	p.pool = New(netip.MustParseAddrPort(lis.Addr().String()), 1)
	var conns sync.WaitGroup
	conns.Go(func() {
		for {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			conns.Go(func() { p.upstream.serve(c) })
		}
	})
	return func() {
		p.pool.Retire()
		_ = lis.Close()
		conns.Wait()
	}
}

// received is called when the upstream has read a request.
func (p *orderPlay) received(id string) {
	switch {
	case id == "1":
		p.endAt(endWhenReceived)
	case id == "2" && p.nextWritten:
		p.holdSecond()
	}
}

// holdSecond holds the second request until the first one has ended.
func (p *orderPlay) holdSecond() {
	p.takeOnce.Do(func() { close(p.taken) })
	waitFor(p.firstEnded, holdTimeout)
}

// endAt ends the context of the first request if this is the point for it.
func (p *orderPlay) endAt(point endPoint) {
	if p.point == point {
		p.end()
		time.Sleep(settleTime)
	}
}

// sendFirst sends the first request and reports whether it counts as sent.
func (p *orderPlay) sendFirst(inner context.Context) (wasSent bool) {
	var detachable atomic.Bool
	ctx := newHookedContext(inner)
	ctx.onDetach = func() {
		if detachable.Load() {
			p.endAt(endAtDetach)
		}
	}
	ctx.onErr = p.awaitSecond
	req := newOrderRequest(ctx, "1")
	req.ContentLength = int64(len(orderBody))
	req.Body = io.NopCloser(&hookedBody{Reader: strings.NewReader(orderBody), onRead: func() { p.endAt(endWhileWriting) }})
	resp, sent, err := p.pool.RoundTrip(req, RoundTripOptions{Match: matchID("1"), Observe: func(int, http.Header, bool) {
		detachable.Store(true)
		p.markHeadRead()
		p.endAt(endAtHead)
	}})
	close(p.firstEnded)
	p.markHeadRead()
	if err != nil {
		return sent.Bytes
	}
	p.endAt(endWhenDelivered)
	_, _ = resp.Body.Read(make([]byte, 1))
	p.endAt(endWithinBody)
	_, _ = io.Copy(io.Discard, resp.Body)
	p.endAt(endAfterBody)
	_ = resp.Body.Close()
	return true
}

func (p *orderPlay) markHeadRead() { p.headOnce.Do(func() { close(p.headRead) }) }

// awaitSecond waits until the second request has taken the connection of the first one, if
// that is free.
func (p *orderPlay) awaitSecond() {
	select {
	case <-p.headRead:
		waitFor(p.taken, holdTimeout)
	default:
	}
}

// sendSecond sends the second request once the head of the first response was read.
func (p *orderPlay) sendSecond() {
	<-p.headRead
	ctx := newHookedContext(p.ctx)
	if !p.nextWritten {
		ctx.onAttach = p.holdSecond
	}
	body, sent, err := send(ctx, p.pool, "2")
	for err != nil && p.ctx.Err() == nil && !sent.Bytes {
		// The connection is in use, or was closed before anything was written.
		time.Sleep(time.Millisecond)
		body, sent, err = send(ctx, p.pool, "2")
	}
	if err == nil && body != "2" {
		err = errors.Errorf("response of another request: %q", body)
	}
	p.second <- err
}

// orderBody is the body of the request whose context ends.
const orderBody = "request body"

func newOrderRequest(ctx context.Context, id string) *http.Request {
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://upstream/", http.NoBody)
	req.Header.Set("Id", id)
	return req
}

// send sends a request and returns the body of its response.
func send(ctx context.Context, p *Pool, id string) (string, SendStatus, error) {
	resp, sent, err := p.RoundTrip(newOrderRequest(ctx, id), RoundTripOptions{Match: matchID(id)})
	if err != nil {
		return "", sent, err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return string(b), sent, err
}

// awaitIdle waits until a connection is idle.
func awaitIdle(ctx context.Context, p *Pool) {
	for p.idleCount() == 0 && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
}

// waitFor waits for a channel to be closed, at most for a timeout.
func waitFor(done <-chan struct{}, timeout time.Duration) {
	select {
	case <-done:
	case <-time.After(timeout):
	}
}
