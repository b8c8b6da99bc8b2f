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
	dialPatience     = time.Second
	idlePatience     = time.Minute
	maxAnswerHeaders = 64 << 10
	// retryIdle is how often a fresh connection looks for an idle one to replace.
	retryIdle = time.Millisecond
)

// limiter bounds the connections to one upstream.
type limiter struct {
	limit int

	mu    sync.Mutex
	open  int
	freed chan struct{}
}

// acquire waits for a place; it fails once ctx ends.
func (l *limiter) acquire(ctx context.Context) error {
	for {
		freed, ok := l.try()
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

func (l *limiter) try() (freed <-chan struct{}, ok bool) {
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

// pool holds the connections to one upstream under one limit.
type pool struct {
	// upstream is the name under which the attempts are counted.
	upstream string
	limiter  limiter
	// kept reuses connections, fresh opens one for each request.
	kept    *http.Transport
	fresh   *http.Transport
	retired atomic.Bool
}

func newPool(connections int) *pool {
	p := &pool{limiter: limiter{limit: connections}}
	p.kept = p.transport(p.dial)
	p.kept.MaxConnsPerHost = keptShare(connections)
	p.fresh = p.transport(p.dialFresh)
	p.fresh.DisableKeepAlives = true
	return p
}

// keptShare leaves places for fresh connections, which would otherwise wait
// for as long as requests queue for the kept ones.
func keptShare(connections int) int {
	const freshShare = 8
	return max(1, connections-(connections+freshShare-1)/freshShare)
}

func (p *pool) transport(dial func(context.Context, string, string) (net.Conn, error)) *http.Transport {
	return &http.Transport{
		DialContext:            dial,
		MaxIdleConnsPerHost:    p.limiter.limit,
		IdleConnTimeout:        idlePatience,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxAnswerHeaders,
	}
}

func (p *pool) dial(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialPatience)
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

// dialFresh gives up idle connections as long as all places are taken.
func (p *pool) dialFresh(ctx context.Context, network, address string) (net.Conn, error) {
	again := time.NewTicker(retryIdle)
	defer again.Stop()
	for deadline := time.Now().Add(dialPatience); p.limiter.count() >= p.limiter.limit && time.Now().Before(deadline); {
		p.kept.CloseIdleConnections()
		select {
		case <-again.C:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return p.dial(ctx, network, address)
}

// choose returns the transport for a request.
func (p *pool) choose(fresh bool) *http.Transport {
	if fresh {
		return p.fresh
	}
	return p.kept
}

// finished is called after each attempt, so that a retired pool keeps no idle connection.
func (p *pool) finished() {
	if p.retired.Load() {
		p.kept.CloseIdleConnections()
	}
}

func (p *pool) retire() {
	p.retired.Store(true)
	p.kept.CloseIdleConnections()
}

// poolKey names an upstream of a service.
type poolKey struct{ service, address string }

// pool returns the connections of an upstream; d.mu is held. A new limit takes
// effect by a new pool, while requests in progress finish on the old one.
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

// prune retires the pools of upstreams that the configuration no longer has; d.mu is held.
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
			d.metrics.forget(key.service, p.upstream)
		}
	}
	for key, p := range d.conns {
		if !keep[key] {
			p.Retire()
			delete(d.conns, key)
		}
	}
}

func (d *Driver) closeIdle(e reducer.CloseIdle) {
	key := poolKey{e.Service, e.Address.String()}
	if p, ok := d.pools[key]; ok {
		p.kept.CloseIdleConnections()
	}
	if p, ok := d.conns[key]; ok {
		p.CloseIdle()
	}
}
