package messenger

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"

	"github.com/azuretrestle/azuretrestle/internal/dialer"
	"github.com/azuretrestle/azuretrestle/internal/reducer"
)

const (
	maxQueued     = 1024
	maxPerBatch   = 128
	softBatchSize = 256 << 10
	dialPatience  = time.Second
	writePatience = time.Second
	// redialAfter spares a dead peer a dial for each message.
	redialAfter = 50 * time.Millisecond
	idleAfter   = 30 * time.Second
	// ackPatience ends a connection on which what was sent does not arrive.
	ackPatience = 1500 * time.Millisecond
)

// peer is another entry that messages are sent to.
type peer struct {
	messenger *Messenger
	name      string
	wake      chan struct{}

	mu    sync.Mutex
	queue []reducer.Send
	// stale is set if the next message needs a new connection.
	stale bool

	// The fields below belong to run.
	conn    *drpcconn.Conn
	stream  drpc.Stream
	address netip.AddrPort
	redial  time.Time
}

// push queues a message; it reports false if the queue is full.
func (p *peer) push(s reducer.Send) bool {
	p.mu.Lock()
	full := len(p.queue) >= maxQueued
	if !full {
		p.queue = append(p.queue, s)
	}
	p.mu.Unlock()
	select {
	case p.wake <- struct{}{}:
	default:
	}
	return !full
}

// abandon makes the next message use a new connection.
func (p *peer) abandon() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stale = true
}

func (p *peer) takeStale() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	stale := p.stale
	p.stale = false
	return stale
}

// take removes the longest run of queued messages that share an address and an incarnation.
func (p *peer) take() []reducer.Send {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for n < len(p.queue) && n < maxPerBatch &&
		p.queue[n].Address == p.queue[0].Address && p.queue[n].Incarnation == p.queue[0].Incarnation {
		n++
	}
	out := p.queue[:n:n]
	p.queue = p.queue[n:]
	return out
}

// run sends what is queued until the peer has been idle for some time.
func (p *peer) run() {
	defer p.disconnect()
	idle := time.NewTimer(p.messenger.idle)
	defer idle.Stop()
	for {
		select {
		case <-p.wake:
			p.drain()
			idle.Reset(p.messenger.idle)
		case <-p.closed():
			// The peer may not have read what was written last.
			p.disconnect()
			p.messenger.unreachable(p.name, 0)
		case <-idle.C:
			if p.retire() {
				return
			}
			idle.Reset(p.messenger.idle)
		case <-p.messenger.ctx.Done():
			return
		}
	}
}

func (p *peer) closed() <-chan struct{} {
	if p.stream == nil {
		return nil
	}
	return p.stream.Context().Done()
}

// retire removes the peer from the messenger unless a message has been queued meanwhile.
func (p *peer) retire() bool {
	m := p.messenger
	m.mu.Lock()
	defer m.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.queue) > 0 {
		return false
	}
	delete(m.peers, p.name)
	return true
}

func (p *peer) drain() {
	for p.messenger.ctx.Err() == nil {
		batch := p.take()
		if len(batch) == 0 {
			return
		}
		p.deliver(batch)
	}
}

// deliver sends messages that share an address, split where they are large.
func (p *peer) deliver(sends []reducer.Send) {
	m := p.messenger
	if err := p.connect(sends[0].Address); err != nil {
		p.fail(len(sends), err)
		return
	}
	out := batch{From: m.Name, FromIncarnation: m.Incarnation, ForIncarnation: sends[0].Incarnation}
	size := 0
	for i, s := range sends {
		w, err := encode(s.Message)
		if err != nil {
			m.Logger.Error("message can't be encoded", zap.String("Peer", p.name), zap.NamedError("Error", err))
			m.unreachable(p.name, 1)
			continue
		}
		out.Messages = append(out.Messages, w)
		size += len(w.Body)
		if size < softBatchSize && i < len(sends)-1 {
			continue
		}
		if err := p.flush(&out); err != nil {
			p.fail(len(out.Messages)+len(sends)-1-i, err)
			return
		}
		size = 0
	}
	if err := p.flush(&out); err != nil {
		p.fail(len(out.Messages), err)
	}
}

func (p *peer) flush(b *batch) error {
	if len(b.Messages) == 0 {
		return nil
	}
	if err := p.stream.MsgSend(b, encoding{}); err != nil {
		return err
	}
	p.messenger.counts.sent.Add(uint64(len(b.Messages)))
	b.Messages = b.Messages[:0]
	return nil
}

// fail drops the connection; the next message tries a new one.
func (p *peer) fail(dropped int, err error) {
	p.disconnect()
	m := p.messenger
	if m.ctx.Err() != nil {
		return
	}
	m.Logger.Debug("messages dropped", zap.String("Peer", p.name), zap.Int("Count", dropped), zap.NamedError("Error", err))
	m.unreachable(p.name, dropped)
}

func (p *peer) connect(address netip.AddrPort) error {
	if p.takeStale() {
		p.disconnect()
	}
	if p.stream != nil && p.address == address && p.stream.Context().Err() == nil {
		return nil
	}
	p.disconnect()
	if p.address == address && time.Now().Before(p.redial) {
		return errRedial
	}
	p.address = address
	p.redial = time.Now().Add(redialAfter)
	c, err := p.dial(address)
	if err != nil {
		return err
	}
	p.conn = drpcconn.New(outgoing{c})
	p.stream, err = p.conn.NewStream(p.messenger.ctx, streamRPC, encoding{})
	return err
}

func (p *peer) dial(address netip.AddrPort) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(p.messenger.ctx, dialPatience)
	defer cancel()
	var d net.Dialer
	dialer.EndUnacknowledged(&d, ackPatience)
	if certs := p.messenger.Certificates; certs != nil {
		secure := tls.Dialer{NetDialer: &d, Config: certs.client(p.name)}
		return secure.DialContext(ctx, "tcp", address.String())
	}
	return d.DialContext(ctx, "tcp", address.String())
}

func (p *peer) disconnect() {
	if p.conn != nil {
		_ = p.conn.Close()
		p.conn = nil
		p.stream = nil
	}
}
