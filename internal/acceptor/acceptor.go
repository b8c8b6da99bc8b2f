package acceptor

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// Limits bounds what one connection can take.
type Limits struct {
	// Header is the largest header of a request in bytes.
	Header int
	// HeaderPatience is the time a caller has to send its header.
	HeaderPatience time.Duration
	// Idle is how long a connection may stay unused.
	Idle time.Duration
}

var defaultLimits = Limits{Header: 16 << 10, HeaderPatience: 5 * time.Second, Idle: 2 * time.Minute}

// Server accepts connections and gives their requests to a handler. The
// handler's writer supports no interfaces beyond http.ResponseWriter and
// http.Flusher; the context of a request ends with its connection.
type Server struct {
	handler http.Handler
	logger  *zap.Logger
	limits  atomic.Pointer[Limits]
	// retiring is set once answers ask callers to close their connections.
	retiring atomic.Bool

	mu        sync.Mutex
	listeners []net.Listener
	conns     map[*conn]bool
	closing   bool
	work      sync.WaitGroup
}

// New returns a server for a handler.
func New(h http.Handler, l *zap.Logger) *Server {
	s := &Server{handler: h, logger: l, conns: make(map[*conn]bool)}
	s.SetLimits(Limits{})
	return s
}

// SetLimits bounds connections from their next request on; fields that are zero get defaults.
func (s *Server) SetLimits(l Limits) {
	if l.Header == 0 {
		l.Header = defaultLimits.Header
	}
	if l.HeaderPatience == 0 {
		l.HeaderPatience = defaultLimits.HeaderPatience
	}
	if l.Idle == 0 {
		l.Idle = defaultLimits.Idle
	}
	s.limits.Store(&l)
}

// Serve accepts connections on the listener, which it owns, until Shutdown or
// Close; it returns nil then, and an error if the listener fails.
func (s *Server) Serve(lis net.Listener) error {
	if !s.add(lis) {
		return lis.Close()
	}
	for {
		c, err := lis.Accept()
		if err == nil {
			s.start(c)
			continue
		}
		if s.closed() {
			return nil
		}
		var temporary net.Error
		if !errors.As(err, &temporary) || !temporary.Timeout() {
			s.logger.Error("connection not accepted", zap.NamedError("Error", err))
		}
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		time.Sleep(acceptPause)
	}
}

// acceptPause spares the processor while no descriptors are left.
const acceptPause = 20 * time.Millisecond

func (s *Server) add(lis net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return false
	}
	s.listeners = append(s.listeners, lis)
	return true
}

func (s *Server) closed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closing
}

func (s *Server) start(nc net.Conn) {
	c := newConn(s, nc)
	s.mu.Lock()
	s.conns[c] = true
	s.work.Add(1)
	s.mu.Unlock()
	go c.serve()
}

func (s *Server) forget(c *conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	s.work.Done()
}

// Retire makes all further answers ask callers to close their connections.
func (s *Server) Retire() { s.retiring.Store(true) }

// Shutdown closes the listeners and idle connections, and waits until the
// requests in progress are answered; it returns the context's error if that ends first.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Retire()
	for _, c := range s.stopAccepting() {
		c.wake()
	}
	done := make(chan struct{})
	go func() {
		s.work.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close ends all connections at once and waits for their goroutines.
func (s *Server) Close() {
	for _, c := range s.stopAccepting() {
		c.abort()
	}
	s.work.Wait()
}

func (s *Server) stopAccepting() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
	for _, l := range s.listeners {
		_ = l.Close()
	}
	s.listeners = nil
	out := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		out = append(out, c)
	}
	return out
}

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}
