package soaker

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Mode is what a proxy does with connections.
type Mode uint8

// The modes of a proxy.
const (
	// ModePass forwards everything.
	ModePass Mode = iota
	// ModeDelay forwards each piece late.
	ModeDelay
	// ModeReset resets the connections there are, and new ones.
	ModeReset
	// ModeOneWay holds back what comes from the target.
	ModeOneWay
	// ModeSilence forwards nothing more on the connections there are; new ones work.
	ModeSilence
	modes
)

// String returns the name of the mode.
func (m Mode) String() string {
	return [...]string{"Pass", "Delay", "Reset", "OneWay", "Silence"}[m]
}

const (
	// delay is that of each piece in ModeDelay.
	delay = 40 * time.Millisecond
	// pieceSize bounds what is forwarded at a time, in bytes.
	pieceSize = 16 << 10
)

// proxy forwards the TCP connections of one link.
type proxy struct {
	listener net.Listener
	work     sync.WaitGroup

	mu     sync.Mutex
	target string
	mode   Mode
	// changed is closed with each change of the mode.
	changed chan struct{}
	pairs   map[*pair]bool
	closed  bool
}

// pair is a connection with its continuation to the target.
type pair struct {
	proxy  *proxy
	caller net.Conn
	target net.Conn
	// silent is guarded by the proxy's mu.
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
	p := &proxy{listener: lis, target: target, changed: make(chan struct{}), pairs: make(map[*pair]bool)}
	p.work.Go(p.accept)
	return p, nil
}

// setMode changes what happens to connections from now on.
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
	c := &pair{proxy: p, caller: caller, target: t, done: make(chan struct{})}
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

// forward copies one direction; back is set for that to the caller.
func (c *pair) forward(from, to net.Conn, back bool) {
	buf := make([]byte, pieceSize)
	for {
		n, err := from.Read(buf)
		if !c.pass(back) {
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

// pass waits until a piece may be forwarded; it reports false once the connection has ended.
func (c *pair) pass(back bool) bool {
	p := c.proxy
	for {
		p.mu.Lock()
		held := c.silent || p.mode == ModeOneWay && back
		late := p.mode == ModeDelay
		changed := p.changed
		p.mu.Unlock()
		switch {
		case held:
			select {
			case <-changed:
			case <-c.done:
				return false
			}
			continue
		case late:
			time.Sleep(delay)
		}
		return true
	}
}

// reset ends both connections so that the ends see an error.
func (c *pair) reset() {
	c.once.Do(func() {
		close(c.done)
		abort(c.caller)
		abort(c.target)
	})
}

// abort closes a connection with a reset.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// address is where the proxy listens.
func (p *proxy) address() string { return p.listener.Addr().String() }

// close ends all connections.
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
