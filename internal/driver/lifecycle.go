package driver

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/azuretrestle/azuretrestle/internal/reducer"
)

const (
	// drainTimeout bounds the wait for callers that read their responses slowly, after the node has finished.
	drainTimeout = 30 * time.Second
	// unusedTimeout is how long a planned stop waits for the first request on an open
	// connection. The server of net/http would wait 5 s.
	unusedTimeout = 500 * time.Millisecond
)

// Limits bounds the resources that one connection of a caller can use.
type Limits struct {
	// Header is the maximum size of a request header in bytes.
	Header int
	// HeaderPatience is the timeout for reading a request header.
	HeaderPatience time.Duration
	// Idle is the timeout for an idle connection.
	Idle time.Duration
}

var defaultLimits = Limits{Header: 16 << 10, HeaderPatience: 5 * time.Second, Idle: 2 * time.Minute}

// WithLimits sets the limits of callers' connections.
func WithLimits(l Limits) Option { return func(d *Driver) { d.limits = l } }

// Serve serves callers on the listener and returns at once. The driver takes
// ownership of the listener.
func (d *Driver) Serve(lis net.Listener) {
	unused := &unusedConns{conns: make(map[net.Conn]bool)}
	server := &http.Server{
		Handler:           d.Handler(),
		ReadHeaderTimeout: d.limits.HeaderPatience,
		IdleTimeout:       d.limits.Idle,
		MaxHeaderBytes:    d.limits.Header,
		ErrorLog:          zap.NewStdLog(d.logger),
		ConnState: func(c net.Conn, s http.ConnState) {
			unused.connState(c, s)
			d.connState(c, s)
		},
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.drained != nil || d.ctx.Err() != nil {
		_ = lis.Close()
		return
	}
	d.servers = append(d.servers, netServer{server, unused})
	d.spawn(func() {
		if err := server.Serve(lis); err != nil && err != http.ErrServerClosed {
			d.logger.Error("caller listener failed", zap.NamedError("Error", err))
		}
	})
}

// server accepts and serves the connections of callers.
type server interface {
	Shutdown(ctx context.Context) error
	Close()
}

// netServer adapts the server of net/http to server.
type netServer struct {
	*http.Server
	unused *unusedConns
}

// Shutdown closes the listener and waits for the requests in progress. Connections on which
// no request arrives within unusedTimeout are closed.
func (s netServer) Shutdown(ctx context.Context) error {
	t := time.AfterFunc(unusedTimeout, s.unused.close)
	defer t.Stop()
	return s.Server.Shutdown(ctx)
}

// Close closes all connections at once.
func (s netServer) Close() { _ = s.Server.Close() }

// unusedConns holds the connections on which no byte of a request has arrived yet.
type unusedConns struct {
	mu    sync.Mutex
	conns map[net.Conn]bool
}

func (u *unusedConns) connState(c net.Conn, s http.ConnState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if s == http.StateNew {
		u.conns[c] = true
		return
	}
	delete(u.conns, c)
}

func (u *unusedConns) close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for c := range u.conns {
		_ = c.Close()
	}
}

// connState makes Close wait for the goroutines of connections, which may outlive
// their handlers. A new connection is counted while the goroutine of Serve still
// counts, so the count cannot reach 0 before it.
func (d *Driver) connState(_ net.Conn, s http.ConnState) {
	switch s {
	case http.StateNew:
		d.work.Add(1)
	case http.StateClosed:
		d.work.Done()
	}
}

// Stop begins a planned stop without a time limit and returns; Done is closed at its end.
// A second call aborts all work at once.
func (d *Driver) Stop() { d.StopBy(time.Time{}) }

// StopBy is Stop with a deadline: requests that usually take longer than the time that is
// left are refused, and those in progress at the deadline get their final responses then.
func (d *Driver) StopBy(deadline time.Time) {
	if d.stopping.Swap(true) {
		d.Close()
		return
	}
	d.logger.Info("planned stop requested")
	d.post(func(s reducer.Stamp) reducer.Event { return reducer.StopRequested{Stamp: s, Deadline: deadline} })
}

// Done returns a channel that is closed once the driver has ended.
func (d *Driver) Done() <-chan struct{} { return d.done }

// Close aborts all work and waits until it has ended.
func (d *Driver) Close() {
	d.closeOnce.Do(d.close)
	<-d.done
}

func (d *Driver) close() {
	d.mu.Lock()
	d.cancel()
	if d.timer != nil {
		d.timer.Stop()
	}
	servers := d.servers
	d.mu.Unlock()
	for _, s := range servers {
		s.Close()
	}
	d.peers.Close()
	d.work.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.pools {
		p.retire()
	}
	for _, p := range d.managedPools {
		p.Retire()
	}
	if d.peerListener != nil {
		_ = d.peerListener.Close()
	}
	close(d.done)
}

func (d *Driver) enterStopPhase(p reducer.StopStep) {
	switch p {
	case reducer.StopListening:
		d.stopListening()
	case reducer.StopDone:
		d.stopListening()
		go d.finish(d.drained)
	}
}

// stopListening closes the callers' listeners and lets requests in progress finish.
func (d *Driver) stopListening() {
	if d.drained != nil {
		return
	}
	d.logger.Info("closing callers' listeners")
	d.drained = make(chan struct{})
	drained, servers := d.drained, d.servers
	d.spawn(func() {
		defer close(drained)
		for _, s := range servers {
			_ = s.Shutdown(d.ctx)
		}
	})
}

// finish closes the driver once all callers have their responses or drainTimeout has passed.
func (d *Driver) finish(drained <-chan struct{}) {
	ctx, cancel := context.WithTimeout(d.ctx, drainTimeout)
	defer cancel()
	select {
	case <-drained:
		d.logger.Info("planned stop complete")
	case <-ctx.Done():
		d.logger.Warn("planned stop ended before all callers had read their responses")
	}
	d.Close()
}
