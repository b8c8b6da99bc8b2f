package soaker

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Mode is how a proxy treats connections.
type Mode uint8

// The modes of a proxy.
const (
	// ModePass forwards everything.
	ModePass Mode = iota
	// ModeDelay forwards each chunk with a delay.
	ModeDelay
	// ModeReset resets existing and new connections.
	ModeReset
	// ModeOneWay holds back data from the target.
	ModeOneWay
	// ModeSilence stops forwarding on existing connections; new ones work.
	ModeSilence
	// modeCount is the number of modes.
	modeCount
)

func (m Mode) String() string {
	return [...]string{"Pass", "Delay", "Reset", "OneWay", "Silence"}[m]
}

const (
	// chunkDelay is the delay of each chunk in ModeDelay.
	chunkDelay = 40 * time.Millisecond
	// chunkSize is the size of the copy buffer in bytes.
	chunkSize = 16 << 10
)

// proxy forwards the TCP connections of one link.
type proxy struct {
	listener net.Listener
	work     sync.WaitGroup

	mu     sync.Mutex
	target string
	mode   Mode
	// changed is closed and replaced with each change of the mode.
	changed chan struct{}
	pairs   map[*connPair]bool
	closed  bool
}

// connPair is a caller's connection and the matching connection to the target.
type connPair struct {
	proxy  *proxy
	caller net.Conn
	target net.Conn
	// silent is set by ModeSilence and guarded by the proxy's mu.
	silent bool
	done   chan struct{}
	once   sync.Once
}

// listen opens a TCP listener at an address.
func listen(address string) (net.Listener, error) {
	var l net.ListenConfig
	return l.Listen(context.Background(), "tcp", address)
}

// newProxy listens at the address and forwards to the target.
func newProxy(address, target string) (*proxy, error) {
	lis, err := listen(address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: lis, target: target, changed: make(chan struct{}), pairs: make(map[*connPair]bool)}
	p.work.Go(p.accept)
	return p, nil
}

// setMode changes the mode and applies it to existing connections.
func (p *proxy) setMode(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	for c := range p.pairs {
		switch m {
		case ModeReset:
			c.reset()
		case ModeSilence:
			c.silent = true
		}
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.work.Go(func() { p.serve(c) })
	}
}

func (p *proxy) serve(caller net.Conn) {
	p.mu.Lock()
	refuse, target := p.mode == ModeReset, p.target
	p.mu.Unlock()
	if refuse {
		abort(caller)
		return
	}
	var d net.Dialer
	t, err := d.DialContext(context.Background(), "tcp", target)
	if err != nil {
		abort(caller)
		return
	}
	c := &connPair{proxy: p, caller: caller, target: t, done: make(chan struct{})}
	p.mu.Lock()
	p.pairs[c] = true
	closed := p.closed
	p.mu.Unlock()
	if closed {
		c.reset()
	}
	var both sync.WaitGroup
	both.Go(func() { c.forward(caller, t, false) })
	both.Go(func() { c.forward(t, caller, true) })
	both.Wait()
	_ = caller.Close()
	_ = t.Close()
	p.mu.Lock()
	delete(p.pairs, c)
	p.mu.Unlock()
}

// forward copies the data of one direction; toCaller is set for data from the target.
func (c *connPair) forward(from, to net.Conn, toCaller bool) {
	buf := make([]byte, chunkSize)
	for {
		n, err := from.Read(buf)
		if !c.waitToForward(toCaller) {
			return
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				c.reset()
				return
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		default:
			c.reset()
			return
		}
	}
}

// waitToForward waits until a chunk may be forwarded; it reports false once the connection was reset.
func (c *connPair) waitToForward(toCaller bool) bool {
	p := c.proxy
	for {
		p.mu.Lock()
		blocked := c.silent || p.mode == ModeOneWay && toCaller
		delayed := p.mode == ModeDelay
		changed := p.changed
		p.mu.Unlock()
		switch {
		case blocked:
			select {
			case <-changed:
			case <-c.done:
				return false
			}
			continue
		case delayed:
			time.Sleep(chunkDelay)
		}
		return true
	}
}

// reset resets both connections, so that both peers see an error.
func (c *connPair) reset() {
	c.once.Do(func() {
		close(c.done)
		abort(c.caller)
		abort(c.target)
	})
}

// abort closes a connection with a TCP reset.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// address returns the address that the proxy listens on.
func (p *proxy) address() string { return p.listener.Addr().String() }

// close stops listening and resets all connections.
func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	p.closed = true
	for c := range p.pairs {
		c.reset()
	}
	p.mu.Unlock()
	p.work.Wait()
}
