package acceptor

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// Limits bounds the header size and the timeouts of one connection.
type Limits struct {
	// Header is the maximum size of a request header in bytes.
	Header int
	// HeaderPatience is the timeout for reading a request header.
	HeaderPatience time.Duration
	// Idle is the timeout after which an unused connection is closed.
	Idle time.Duration
}

var defaultLimits = Limits{Header: 16 << 10, HeaderPatience: 5 * time.Second, Idle: 2 * time.Minute}

// Server accepts connections and passes their requests to a handler. The
// handler's writer implements only http.ResponseWriter and http.Flusher; the
// context of a request ends with its connection.
type Server struct {
	handler http.Handler
	logger  *zap.Logger
	limits  atomic.Pointer[Limits]
	// closeAfterResponse is set once responses carry "Connection: close".
	closeAfterResponse atomic.Bool

	mu        sync.Mutex
	listeners []net.Listener
	conns     map[*conn]bool
	closing   bool
	connsWG   sync.WaitGroup
}

// New returns a server that passes requests to h.
func New(h http.Handler, l *zap.Logger) *Server {
	s := &Server{handler: h, logger: l, conns: make(map[*conn]bool)}
	s.SetLimits(Limits{})
	return s
}

// SetLimits sets the limits of all connections from their next request on, and the idle
// timeout also of those that are idle now; zero fields get defaults.
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
	previous := s.limits.Swap(&l)
	if previous == nil || previous.Idle == l.Idle {
		return
	}
	for _, c := range s.openConns() {
		c.renewIdleDeadline()
	}
}

// Serve accepts connections on the listener, which it owns. It returns nil
// after Shutdown or Close, and an error if the listener fails.
func (s *Server) Serve(lis net.Listener) error {
	if !s.addListener(lis) {
		return lis.Close()
	}
	for {
		c, err := lis.Accept()
		if err == nil {
			s.startConn(c)
			continue
		}
		if s.isClosing() {
			return nil
		}
		var temporary net.Error
		if !errors.As(err, &temporary) || !temporary.Timeout() {
			s.logger.Error("connection not accepted", zap.NamedError("Error", err))
		}
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		time.Sleep(acceptRetryDelay)
	}
}

// acceptRetryDelay avoids a busy loop while the process is out of file descriptors.
const acceptRetryDelay = 20 * time.Millisecond

func (s *Server) addListener(lis net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return false
	}
	s.listeners = append(s.listeners, lis)
	return true
}

func (s *Server) isClosing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closing
}

func (s *Server) startConn(nc net.Conn) {
	c := newConn(s, nc)
	s.mu.Lock()
	s.conns[c] = true
	s.connsWG.Add(1)
	s.mu.Unlock()
	go c.serve()
}

func (s *Server) removeConn(c *conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	s.connsWG.Done()
}

// AnnounceClose makes all further responses carry "Connection: close".
func (s *Server) AnnounceClose() { s.closeAfterResponse.Store(true) }

// Shutdown closes the listeners and idle connections, and waits until the
// requests in flight are answered; it returns the context's error if the context ends first.
func (s *Server) Shutdown(ctx context.Context) error {
	s.AnnounceClose()
	for _, c := range s.stopAccepting() {
		c.closeWhenIdle()
	}
	done := make(chan struct{})
	go func() {
		s.connsWG.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close closes all connections at once and waits for their goroutines.
func (s *Server) Close() {
	for _, c := range s.stopAccepting() {
		c.abort()
	}
	s.connsWG.Wait()
}

func (s *Server) stopAccepting() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
	for _, l := range s.listeners {
		_ = l.Close()
	}
	s.listeners = nil
	return slices.Collect(maps.Keys(s.conns))
}

func (s *Server) openConns() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.conns))
}

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}
