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
	// dialPatience bounds the wait for a new connection.
	dialPatience = 500 * time.Millisecond
	// idlePatience closes a connection that was not used for this long, unless the upstream names a time.
	idlePatience = 8 * time.Second
	// idleMargin keeps a request from crossing the upstream's close of an idle connection.
	idleMargin = time.Second
)

// keepAlive finds connections that went silent while an answer is awaited.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 3}

// ErrNoRoom is returned if all connections that the upstream grants are in use.
var ErrNoRoom = errors.New("all connections to the upstream are in use")

// Matcher reports whether an answer belongs to the request that it was read for.
type Matcher func(*http.Response) bool

// Need describes the connection that a request needs.
type Need struct {
	// Fresh asks for a new connection.
	Fresh bool
	// MaxIdle bounds the time that the connection was unused; 0 means no bound.
	MaxIdle time.Duration
	// Match decides whether an answer is the request's own; nil accepts every answer.
	Match Matcher
}

// Sent tells how far a request got.
type Sent struct {
	// Connected is set once there was a connection.
	Connected bool
	// Bytes is set unless it is certain that no byte of the request left.
	Bytes bool
	// Reused is set if the connection had carried a request before.
	Reused bool
}

// Pool keeps the connections to one upstream.
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

// SetLimit changes the number of connections that may be open.
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

// RoundTrip sends a request once and returns its answer, whose body has to be
// closed. The request's context ends the exchange at any time.
func (p *Pool) RoundTrip(req *http.Request, need Need) (*http.Response, Sent, error) {
	c, sent, err := p.connect(req.Context(), need)
	if err != nil {
		return nil, sent, err
	}
	sent.Connected = true
	resp, err := c.roundTrip(req, need.Match)
	sent.Bytes = c.wrote.Load()
	return resp, sent, err
}

func (p *Pool) connect(ctx context.Context, need Need) (*conn, Sent, error) {
	for !need.Fresh {
		c := p.take(need.MaxIdle)
		if c == nil {
			break
		}
		if c.claim() {
			return c, Sent{Reused: true}, nil
		}
	}
	c, err := p.dial(ctx)
	return c, Sent{}, err
}

// take removes the connection that was used last, so that the others may time out.
func (p *Pool) take(maxIdle time.Duration) *conn {
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
		return nil, ErrNoRoom
	}
	ctx, cancel := context.WithTimeout(ctx, dialPatience)
	defer cancel()
	d := net.Dialer{KeepAliveConfig: keepAlive}
	nc, err := d.DialContext(ctx, "tcp", p.address.String())
	if err != nil {
		p.release()
		return nil, err
	}
	p.opened.Add(1)
	c := newConn(p, nc)
	c.claim()
	go c.readAnswers()
	return c, nil
}

// reserve takes a place for a new connection; an idle one makes room if need be.
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

// keep makes a connection available for the next request; it reports false if it is not wanted.
func (p *Pool) keep(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.retired {
		return false
	}
	now := time.Now()
	p.closeExpired(now)
	c.idleSince = now
	c.expires = now.Add(c.lifetime)
	p.idle = append(p.idle, c)
	return true
}

// closeExpired closes the connections that were unused for too long; the oldest come first.
func (p *Pool) closeExpired(now time.Time) {
	for len(p.idle) > 0 && !now.Before(p.idle[0].expires) {
		p.idle[0].close()
		p.idle = p.idle[1:]
	}
}

// drop removes a connection that ended while it was unused.
func (p *Pool) drop(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, o := range p.idle {
		if o == c {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			return
		}
	}
}

// CloseIdle closes the connections that no request uses.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		c.close()
	}
	p.idle = nil
}

// Retire closes idle connections, and the others once their request has ended.
func (p *Pool) Retire() {
	p.mu.Lock()
	p.retired = true
	p.mu.Unlock()
	p.CloseIdle()
}
