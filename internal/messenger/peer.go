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
	// maxQueued bounds the messages in the queue of one peer.
	maxQueued = 1024
	// maxPerBatch bounds the messages in one batch.
	maxPerBatch = 128
	// softBatchSize is the size of the encoded messages, in bytes, at which a batch is sent.
	softBatchSize = 256 << 10
	dialTimeout   = time.Second
	writeTimeout  = time.Second
	// dialBackoff is the minimum time between two dials to one address. It prevents a
	// dial per message to a peer that is down.
	dialBackoff = 50 * time.Millisecond
	// defaultIdleTimeout is how long a connection to a peer may be without messages
	// before it is closed.
	defaultIdleTimeout = 30 * time.Second
	// ackTimeout is how long sent data may stay unacknowledged before the connection
	// is closed.
	ackTimeout = 1500 * time.Millisecond
)

// peer sends messages to one other entry.
type peer struct {
	messenger *Messenger
	name      string
	wake      chan struct{}

	mu    sync.Mutex
	queue []reducer.Send
	// stale is set if the next message needs a new connection.
	stale bool

	// The fields below are only used by the goroutine of run.
	conn       *drpcconn.Conn
	stream     drpc.Stream
	address    netip.AddrPort
	nextDialAt time.Time
}

// enqueue queues a message. It reports false if the queue is full.
func (p *peer) enqueue(s reducer.Send) bool {
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

// markStale makes the next message use a new connection.
func (p *peer) markStale() {
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

// dequeueBatch removes up to maxPerBatch messages from the head of the queue that share
// an address and an incarnation.
func (p *peer) dequeueBatch() []reducer.Send {
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

// run sends queued messages until no message was queued for idleTimeout.
func (p *peer) run() {
	defer p.disconnect()
	idle := time.NewTimer(p.messenger.idleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-p.wake:
			p.sendQueued()
			idle.Reset(p.messenger.idleTimeout)
		case <-p.streamDone():
			// The peer may not have received the last messages.
			p.disconnect()
			p.messenger.markUnreachable(p.name, 0)
		case <-idle.C:
			if p.removeIfIdle() {
				return
			}
			idle.Reset(p.messenger.idleTimeout)
		case <-p.messenger.ctx.Done():
			return
		}
	}
}

func (p *peer) streamDone() <-chan struct{} {
	if p.stream == nil {
		return nil
	}
	return p.stream.Context().Done()
}

// removeIfIdle removes the peer from the messenger unless a message was queued after
// the idle timeout expired.
func (p *peer) removeIfIdle() bool {
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

func (p *peer) sendQueued() {
	for p.messenger.ctx.Err() == nil {
		batch := p.dequeueBatch()
		if len(batch) == 0 {
			return
		}
		p.deliver(batch)
	}
}

// deliver sends messages that share an address and an incarnation. It starts a new
// batch when the size of the current one reaches softBatchSize.
func (p *peer) deliver(sends []reducer.Send) {
	m := p.messenger
	if err := p.connect(sends[0].Address); err != nil {
		p.handleSendError(len(sends), err)
		return
	}
	out := batch{From: m.Name, FromIncarnation: m.Incarnation, ForIncarnation: sends[0].Incarnation}
	size := 0
	for i, s := range sends {
		w, err := encode(s.Message)
		if err != nil {
			m.Logger.Error("cannot encode peer message", zap.String("Peer", p.name), zap.NamedError("Error", err))
			m.markUnreachable(p.name, 1)
			continue
		}
		out.Messages = append(out.Messages, w)
		size += len(w.Body)
		if size < softBatchSize && i < len(sends)-1 {
			continue
		}
		if err := p.sendBatch(&out); err != nil {
			p.handleSendError(len(out.Messages)+len(sends)-1-i, err)
			return
		}
		size = 0
	}
	if err := p.sendBatch(&out); err != nil {
		p.handleSendError(len(out.Messages), err)
	}
}

func (p *peer) sendBatch(b *batch) error {
	if len(b.Messages) == 0 {
		return nil
	}
	if err := p.stream.MsgSend(b, batchEncoding{}); err != nil {
		return err
	}
	p.messenger.counts.sent.Add(uint64(len(b.Messages)))
	b.Messages = b.Messages[:0]
	return nil
}

// handleSendError closes the connection and reports the dropped messages. The next
// message uses a new connection.
func (p *peer) handleSendError(dropped int, err error) {
	p.disconnect()
	m := p.messenger
	if m.ctx.Err() != nil {
		return
	}
	m.Logger.Debug("messages dropped", zap.String("Peer", p.name), zap.Int("Count", dropped), zap.NamedError("Error", err))
	m.markUnreachable(p.name, dropped)
}

func (p *peer) connect(address netip.AddrPort) error {
	if p.takeStale() {
		p.disconnect()
	}
	if p.stream != nil && p.address == address && p.stream.Context().Err() == nil {
		return nil
	}
	p.disconnect()
	if p.address == address && time.Now().Before(p.nextDialAt) {
		return errDialBackoff
	}
	p.address = address
	p.nextDialAt = time.Now().Add(dialBackoff)
	c, err := p.dial(address)
	if err != nil {
		return err
	}
	p.conn = drpcconn.New(outgoingConn{c})
	p.stream, err = p.conn.NewStream(p.messenger.ctx, streamRPC, batchEncoding{})
	return err
}

func (p *peer) dial(address netip.AddrPort) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(p.messenger.ctx, dialTimeout)
	defer cancel()
	var d net.Dialer
	dialer.SetUserTimeout(&d, ackTimeout)
	if certs := p.messenger.Certificates; certs != nil {
		secure := tls.Dialer{NetDialer: &d, Config: certs.clientConfig(p.name)}
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
