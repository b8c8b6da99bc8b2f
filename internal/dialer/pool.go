package dialer

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// dialTimeout bounds the wait for a new connection.
	dialTimeout = 500 * time.Millisecond
	// maxIdleTimeout closes a connection that was idle for this long, unless the
	// upstream's Keep-Alive header gives a shorter time.
	maxIdleTimeout = 8 * time.Second
	// idleMargin is subtracted from the upstream's idle timeout, so that no request
	// is sent while the upstream closes the connection.
	idleMargin = time.Second
)

// tcpKeepAlive detects dead connections while a response is awaited.
var tcpKeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 3}

// ErrConnLimit is returned if all connections that the upstream's limit allows are in use.
var ErrConnLimit = errors.New("all connections to the upstream are in use")

// Matcher reports whether a response belongs to the request for which it was read. reused
// is set if the connection has carried an earlier request, to which it may belong too.
type Matcher func(r *http.Response, reused bool) bool

// RoundTripOptions specifies which connection a request may use and how its response is recognised.
type RoundTripOptions struct {
	// Fresh requires a new connection.
	Fresh bool
	// MaxIdle bounds the time for which the connection has been idle; 0 means no bound.
	MaxIdle time.Duration
	// Match reports whether a response belongs to the request; nil accepts every response.
	Match Matcher
	// Observe, if not nil, is called with the status and the headers of each final response
	// that is read for the request; matched is set if it belongs to the request.
	Observe func(status int, h http.Header, matched bool)
}

// SendStatus reports how far the sending of a request got.
type SendStatus struct {
	// Connected is set once a connection was obtained.
	Connected bool
	// Bytes is set unless it is certain that no byte of the request was sent.
	Bytes bool
	// Reused is set if the connection had carried an earlier request.
	Reused bool
}

// Pool holds the connections to one upstream.
type Pool struct {
	address netip.AddrPort
	opened  atomic.Uint64

	mu      sync.Mutex
	limit   int
	open    int
	idle    []*conn
	retired bool
}

// New returns a pool that opens at most limit connections.
func New(address netip.AddrPort, limit int) *Pool { return &Pool{address: address, limit: limit} }

// SetLimit changes the maximum number of open connections.
func (p *Pool) SetLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
}

// Open returns the number of open connections.
func (p *Pool) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// Opened returns the number of connections opened since the start.
func (p *Pool) Opened() uint64 { return p.opened.Load() }

// RoundTrip sends a request once and returns its response, whose body the caller
// has to close. The end of the request's context ends the exchange at any time.
func (p *Pool) RoundTrip(req *http.Request, options RoundTripOptions) (*http.Response, SendStatus, error) {
	c, sent, err := p.connect(req.Context(), options)
	if err != nil {
		return nil, sent, err
	}
	sent.Connected = true
	x := newExchange(req, options)
	resp, err := c.roundTrip(x)
	sent.Bytes = x.sent
	return resp, sent, err
}

func (p *Pool) connect(ctx context.Context, options RoundTripOptions) (*conn, SendStatus, error) {
	for !options.Fresh {
		c := p.takeIdle(options.MaxIdle)
		if c == nil {
			break
		}
		if !c.hasEnded() {
			return c, SendStatus{Reused: true}, nil
		}
	}
	c, err := p.dial(ctx)
	return c, SendStatus{}, err
}

// takeIdle removes the most recently used connection from the idle ones, so that the others can expire.
func (p *Pool) takeIdle(maxIdle time.Duration) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		if maxIdle > 0 && now.Sub(c.idleSince) > maxIdle {
			return nil
		}
		p.idle = p.idle[:len(p.idle)-1]
		if now.Before(c.expires) {
			return c
		}
		c.close()
	}
	return nil
}

func (p *Pool) dial(ctx context.Context) (*conn, error) {
	if !p.reserve() {
		return nil, ErrConnLimit
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	d := net.Dialer{KeepAliveConfig: tcpKeepAlive}
	nc, err := d.DialContext(ctx, "tcp", p.address.String())
	if err != nil {
		p.release()
		return nil, err
	}
	p.opened.Add(1)
	c := newConn(p, nc)
	go c.readLoop()
	return c, nil
}

// reserve counts a new connection against the limit. If the limit is reached, it
// closes the connection that was idle longest, or reports false if none is idle.
func (p *Pool) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open >= p.limit && len(p.idle) > 0 {
		c := p.idle[0]
		p.idle = p.idle[1:]
		c.close()
		p.open++
		return true
	}
	if p.open >= p.limit {
		return false
	}
	p.open++
	return true
}

func (p *Pool) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// putIdle makes a connection available for the next request; it reports false if the pool is retired.
func (p *Pool) putIdle(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.retired {
		return false
	}
	now := time.Now()
	p.closeExpired(now)
	c.idleSince = now
	c.expires = now.Add(c.idleTimeout)
	p.idle = append(p.idle, c)
	return true
}

// closeExpired closes the expired idle connections; the list is ordered from the
// longest idle to the most recently used.
func (p *Pool) closeExpired(now time.Time) {
	for len(p.idle) > 0 && !now.Before(p.idle[0].expires) {
		p.idle[0].close()
		p.idle = p.idle[1:]
	}
}

// removeIdle removes a connection that ended while it was idle.
func (p *Pool) removeIdle(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, o := range p.idle {
		if o == c {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			return
		}
	}
}

// CloseIdle closes the idle connections.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		c.close()
	}
	p.idle = nil
}

// Retire closes idle connections at once, and the others when their request has ended.
func (p *Pool) Retire() {
	p.mu.Lock()
	p.retired = true
	p.mu.Unlock()
	p.CloseIdle()
}
