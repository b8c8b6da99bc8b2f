package faker

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const headerTimeout = 10 * time.Second

// Server serves a fake on a listener whose connections can be made to fail.
type Server struct {
	listener net.Listener
	http     *http.Server
	done     chan struct{}
	// connections counts the connections whose handlers may still run.
	connections sync.WaitGroup

	mu             sync.Mutex
	open           map[*conn]bool
	accepted       int
	maxConnections int
}

// connKey is the context key of a request's connection.
type connKey struct{}

// exemptFromSilence excludes the connection of a request from Server.Silence.
func exemptFromSilence(r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*conn); ok {
		c.exempt.Store(true)
	}
}

// attacher is implemented by handlers that control the connections of their server.
type attacher interface{ attach(*Server) }

// Start serves h on the listener and takes ownership of the listener.
func Start(lis net.Listener, h http.Handler) *Server {
	s := &Server{listener: lis, done: make(chan struct{}), open: make(map[*conn]bool)}
	s.http = &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout,
		ErrorLog: log.New(io.Discard, "", 0),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
		ConnState: s.connState,
	}
	if c, ok := h.(attacher); ok {
		c.attach(s)
	}
	go func() {
		defer close(s.done)
		_ = s.http.Serve(faultyListener{lis, s})
	}()
	return s
}

// Address returns the address that the server listens on.
func (s *Server) Address() netip.AddrPort {
	a, _ := netip.ParseAddrPort(s.listener.Addr().String())
	return a
}

// Silence makes the open connections stop reading and writing without closing
// them. Connections that carried a control request are exempt.
func (s *Server) Silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		c.silent.Store(!c.exempt.Load())
	}
}

// SetMaxConnections makes the server close new connections at once while n are open; 0 means no limit.
func (s *Server) SetMaxConnections(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxConnections = n
}

// Accepted returns the number of connections accepted so far.
func (s *Server) Accepted() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted
}

// Open returns the number of open connections.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// Done is closed once the server accepts no more connections.
func (s *Server) Done() <-chan struct{} { return s.done }

// Close closes the server and its connections at once, even in the middle of a
// response, and waits until the handlers have returned.
func (s *Server) Close() {
	_ = s.http.Close()
	<-s.done
	s.connections.Wait()
}

func (s *Server) connState(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.connections.Add(1)
	case http.StateClosed:
		s.connections.Done()
	}
}

// add registers a connection; it reports false if the connection exceeds the limit.
func (s *Server) add(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.maxConnections > 0 && len(s.open) >= s.maxConnections {
		return false
	}
	s.accepted++
	s.open[c] = true
	return true
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}

type faultyListener struct {
	net.Listener
	server *Server
}

// Accept returns the next connection that is within the limit and closes those beyond it.
func (l faultyListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		out := &conn{Conn: c, server: l.server, closed: make(chan struct{})}
		if l.server.add(out) {
			return out, nil
		}
		_ = c.Close()
	}
}

// conn is a connection that can be made silent.
type conn struct {
	net.Conn
	server *Server
	silent atomic.Bool
	// exempt is set on connections that carried a control request.
	exempt    atomic.Bool
	closeOnce sync.Once
	closed    chan struct{}
}

// Read blocks until Close if the connection is silent.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	return c.blockIfSilent(n, err)
}

// Write blocks until Close if the connection is silent.
func (c *conn) Write(b []byte) (int, error) {
	if _, err := c.blockIfSilent(0, nil); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

func (c *conn) blockIfSilent(n int, err error) (int, error) {
	if !c.silent.Load() {
		return n, err
	}
	<-c.closed
	return 0, net.ErrClosed
}

// Close closes the connection and unblocks its silent reads and writes.
func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.server.remove(c)
	})
	return c.Conn.Close()
}
