package driver

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/azuretrestle/azuretrestle/internal/reducer"
	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

const (
	dialTimeout        = time.Second
	idleTimeout        = time.Minute
	maxResponseHeaders = 64 << 10
	// idleCloseInterval is how often a dial that waits because of the connection limit closes idle connections.
	idleCloseInterval = time.Millisecond
)

// limiter bounds the connections to one upstream.
type limiter struct {
	limit int

	mu   sync.Mutex
	open int
	// freed is closed at the next release; it is nil if no acquire waits.
	freed chan struct{}
}

// acquire waits until the limit allows another connection and counts it. It fails once ctx is done.
func (l *limiter) acquire(ctx context.Context) error {
	for {
		freed, ok := l.tryAcquire()
		if ok {
			return nil
		}
		select {
		case <-freed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (l *limiter) tryAcquire() (freed <-chan struct{}, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open < l.limit {
		l.open++
		return nil, true
	}
	if l.freed == nil {
		l.freed = make(chan struct{})
	}
	return l.freed, false
}

func (l *limiter) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

func (l *limiter) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
	if l.freed != nil {
		close(l.freed)
		l.freed = nil
	}
}

// pool holds the connections to one upstream, which share one limit.
type pool struct {
	// upstream is the label under which attempts are counted.
	upstream string
	limiter  limiter
	// keepAlive reuses connections; singleUse opens one for each request.
	keepAlive *http.Transport
	singleUse *http.Transport
	retired   atomic.Bool
}

func newPool(connections int) *pool {
	p := &pool{limiter: limiter{limit: connections}}
	p.keepAlive = p.transport(p.dial)
	p.keepAlive.MaxConnsPerHost = keepAliveLimit(connections)
	p.singleUse = p.transport(p.dialSingleUse)
	p.singleUse.DisableKeepAlives = true
	return p
}

// keepAliveLimit reserves a part of the limit for single-use connections, which would
// otherwise wait for as long as requests queue for the kept ones.
func keepAliveLimit(connections int) int {
	const singleUseShare = 8
	return max(1, connections-(connections+singleUseShare-1)/singleUseShare)
}

func (p *pool) transport(dial func(context.Context, string, string) (net.Conn, error)) *http.Transport {
	return &http.Transport{
		DialContext:            dial,
		MaxIdleConnsPerHost:    p.limiter.limit,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeaders,
	}
}

func (p *pool) dial(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if err := p.limiter.acquire(ctx); err != nil {
		return nil, err
	}
	var d net.Dialer
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		p.limiter.release()
		return nil, err
	}
	return newConn(c, p.limiter.release), nil
}

// dialSingleUse dials a connection. While the connection limit is reached, it closes
// idle connections, for at most dialTimeout.
func (p *pool) dialSingleUse(ctx context.Context, network, address string) (net.Conn, error) {
	ticker := time.NewTicker(idleCloseInterval)
	defer ticker.Stop()
	for deadline := time.Now().Add(dialTimeout); p.limiter.count() >= p.limiter.limit && time.Now().Before(deadline); {
		p.keepAlive.CloseIdleConnections()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return p.dial(ctx, network, address)
}

// transportFor returns the transport for a request, which may require a fresh connection.
func (p *pool) transportFor(fresh bool) *http.Transport {
	if fresh {
		return p.singleUse
	}
	return p.keepAlive
}

// closeIdleIfRetired is called after each attempt, so that a retired pool keeps no idle connection.
func (p *pool) closeIdleIfRetired() {
	if p.retired.Load() {
		p.keepAlive.CloseIdleConnections()
	}
}

func (p *pool) retire() {
	p.retired.Store(true)
	p.keepAlive.CloseIdleConnections()
}

// poolKey identifies an upstream of a service.
type poolKey struct{ service, address string }

// pool returns the pool of an upstream; d.mu is held. If the limit has changed,
// pool returns a new pool, and requests in progress finish on the old one.
func (d *Driver) pool(e reducer.Dispatch, address string) *pool {
	key := poolKey{e.Service, address}
	connections := max(1, e.Connections)
	p, ok := d.pools[key]
	if ok && p.limiter.limit == connections {
		return p
	}
	if ok {
		p.retire()
	}
	p = newPool(connections)
	p.upstream = e.Upstream
	d.pools[key] = p
	return p
}

// prune retires the pools of upstreams that are no longer in the configuration; d.mu is held.
func (d *Driver) prune(c *patcher.Config) {
	keep := make(map[poolKey]bool)
	for _, s := range c.Services {
		for _, u := range s.Upstreams {
			keep[poolKey{s.Name, u.Address.String()}] = true
		}
	}
	for key, p := range d.pools {
		if !keep[key] {
			p.retire()
			delete(d.pools, key)
			d.metrics.deleteUpstream(key.service, p.upstream)
		}
	}
	for key, p := range d.managedPools {
		if !keep[key] {
			p.Retire()
			delete(d.managedPools, key)
		}
	}
}

func (d *Driver) closeIdle(e reducer.CloseIdle) {
	key := poolKey{e.Service, e.Address.String()}
	if p, ok := d.pools[key]; ok {
		p.keepAlive.CloseIdleConnections()
	}
	if p, ok := d.managedPools[key]; ok {
		p.CloseIdle()
	}
}
