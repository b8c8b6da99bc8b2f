package driver

import (
	"context"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/azuretrestle/azuretrestle/internal/reducer"
)

const (
	// drainPatience bounds the wait for callers that read their answers slowly, after the node has finished.
	drainPatience = 30 * time.Second
)

// Limits bounds what one caller's connection can take from an entry.
type Limits struct {
	// Header is the largest header of a request in bytes.
	Header int
	// HeaderPatience is the time a caller has to send its header.
	HeaderPatience time.Duration
	// Idle is how long a connection may stay unused.
	Idle time.Duration
}

var defaultLimits = Limits{Header: 16 << 10, HeaderPatience: 5 * time.Second, Idle: 2 * time.Minute}

// WithLimits bounds callers' connections.
func WithLimits(l Limits) Option { return func(d *Driver) { d.limits = l } }

// Serve serves callers on the listener, which it owns from then on; it returns at once.
func (d *Driver) Serve(lis net.Listener) {
	server := &http.Server{
		Handler:           d.Handler(),
		ReadHeaderTimeout: d.limits.HeaderPatience,
		IdleTimeout:       d.limits.Idle,
		MaxHeaderBytes:    d.limits.Header,
		ErrorLog:          zap.NewStdLog(d.logger),
		ConnState:         d.connState,
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.drained != nil || d.ctx.Err() != nil {
		_ = lis.Close()
		return
	}
	d.servers = append(d.servers, netServer{server})
	d.spawn(func() {
		if err := server.Serve(lis); err != nil && err != http.ErrServerClosed {
			d.logger.Error("callers' listener failed", zap.NamedError("Error", err))
		}
	})
}

// server is a listener for callers.
type server interface {
	Shutdown(ctx context.Context) error
	Close()
}

// netServer is the server of net/http.
type netServer struct{ *http.Server }

// Close ends all connections at once.
func (s netServer) Close() { _ = s.Server.Close() }

// connState makes Close wait for the connections' goroutines, which may
// linger after their handlers. A new connection is counted while Serve is.
func (d *Driver) connState(_ net.Conn, s http.ConnState) {
	switch s {
	case http.StateNew:
		d.work.Add(1)
	case http.StateClosed:
		d.work.Done()
	}
}

// Stop begins a planned stop, after which Done is closed; a second call ends all work at once.
func (d *Driver) Stop() {
	if d.stopping.Swap(true) {
		d.Close()
		return
	}
	d.logger.Info("planned stop requested")
	d.post(func(s reducer.Stamp) reducer.Event { return reducer.StopRequested{Stamp: s} })
}

// Done is closed once the driver has ended.
func (d *Driver) Done() <-chan struct{} { return d.done }

// Close abandons all work and waits for its end.
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
	for _, p := range d.conns {
		p.Retire()
	}
	if d.peerListener != nil {
		_ = d.peerListener.Close()
	}
	close(d.done)
}

func (d *Driver) enterPhase(p reducer.StopPhase) {
	switch p {
	case reducer.StopListening:
		d.stopListening()
	case reducer.StopDone:
		d.stopListening()
		go d.finish(d.drained)
	}
}

// stopListening closes the callers' listeners and lets requests in progress end.
func (d *Driver) stopListening() {
	if d.drained != nil {
		return
	}
	d.logger.Info("callers' listeners closing")
	d.drained = make(chan struct{})
	drained, servers := d.drained, d.servers
	d.spawn(func() {
		defer close(drained)
		for _, s := range servers {
			_ = s.Shutdown(d.ctx)
		}
	})
}

// finish ends the driver after the callers have their answers.
func (d *Driver) finish(drained <-chan struct{}) {
	ctx, cancel := context.WithTimeout(d.ctx, drainPatience)
	defer cancel()
	select {
	case <-drained:
		d.logger.Info("planned stop complete")
	case <-ctx.Done():
		d.logger.Warn("planned stop ends with answers still being read")
	}
	d.Close()
}
