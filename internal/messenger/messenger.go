package messenger

import (
	"context"
	"crypto/tls"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"storj.io/drpc"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"github.com/azuretrestle/azuretrestle/internal/reducer"
)

const (
	streamRPC = "/azuretrestle.Peer/Stream"
	// receiveTimeout is how long an incoming connection may be without data before it
	// is closed. It exceeds defaultIdleTimeout, so that normally the sender closes
	// the connection first.
	receiveTimeout = 2 * time.Minute
	// maxIncoming bounds the open incoming connections.
	maxIncoming = 1024
)

// Handler handles received messages and delivery failures. Its methods are called
// from several goroutines and may call Send.
type Handler interface {
	// Received handles a message that is addressed to this incarnation.
	Received(from string, incarnation uint64, m reducer.PeerMessage)
	// Unreachable is called after at least one message to the peer may have been lost.
	Unreachable(peer string)
}

// Options configures a messenger.
type Options struct {
	// Name and Incarnation identify the sender in every batch.
	Name        string
	Incarnation uint64
	// Certificates enables mutual TLS. If it is nil, connections use plain TCP.
	Certificates *Certificates
	Logger       *zap.Logger
}

// Messenger exchanges messages with other entries.
type Messenger struct {
	Options
	handler Handler
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	slots   chan struct{}
	counts  counters
	// idleTimeout is defaultIdleTimeout except in tests.
	idleTimeout time.Duration

	mu    sync.Mutex
	peers map[string]*peer

	reportMu sync.Mutex
	// unreachablePeers holds the peers for which Unreachable has yet to be called.
	unreachablePeers map[string]bool
	wake             chan struct{}
}

// counters are atomic because Stats reads them concurrently.
type counters struct {
	sent, received, dropped, misdirected atomic.Uint64
}

// Stats holds the number of peers and the message counts since the start.
type Stats struct {
	Peers       int
	Sent        uint64
	Received    uint64
	Dropped     uint64
	Misdirected uint64
}

// New returns a messenger that can send. Call Serve to receive messages.
func New(o Options, h Handler) *Messenger {
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	m := &Messenger{
		Options: o, handler: h, idleTimeout: defaultIdleTimeout,
		slots:            make(chan struct{}, maxIncoming),
		peers:            make(map[string]*peer),
		unreachablePeers: make(map[string]bool),
		wake:             make(chan struct{}, 1),
	}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	m.wg.Go(m.reportUnreachable)
	return m
}

// Serve starts to receive messages on the listener and returns. It takes ownership of
// the listener and receives until Close.
func (m *Messenger) Serve(lis net.Listener) {
	lis = &limitListener{Listener: lis, slots: m.slots, done: m.ctx.Done()}
	if m.Certificates != nil {
		lis = tls.NewListener(lis, m.Certificates.serverConfig())
	}
	server := drpcserver.NewWithOptions(receiver{m}, drpcserver.Options{
		Manager: drpcmanager.Options{
			Reader:            drpcwire.ReaderOptions{MaximumBufferSize: maxBatch},
			InactivityTimeout: receiveTimeout,
		},
		Log: func(err error) { m.Logger.Debug("peer connection ended", zap.NamedError("Error", err)) },
	})
	m.wg.Go(func() {
		if err := server.Serve(m.ctx, lis); err != nil {
			m.Logger.Error("peer listener failed", zap.NamedError("Error", err))
		}
	})
}

// Send queues a message. It never blocks. Messages that cannot be delivered are
// dropped, and their peer is reported to the handler.
func (m *Messenger) Send(s reducer.Send) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ctx.Err() != nil {
		return
	}
	p, ok := m.peers[s.To]
	if !ok {
		p = &peer{messenger: m, name: s.To, wake: make(chan struct{}, 1)}
		m.peers[s.To] = p
		m.wg.Go(p.run)
	}
	if !p.enqueue(s) {
		m.markUnreachable(s.To, 1)
	}
}

// Disconnect makes the next message to a peer use a new connection, because the
// current connection may be broken without an error.
func (m *Messenger) Disconnect(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p, ok := m.peers[name]; ok {
		p.markStale()
	}
}

// Stats returns the current counts.
func (m *Messenger) Stats() Stats {
	m.mu.Lock()
	peers := len(m.peers)
	m.mu.Unlock()
	return Stats{
		Peers: peers, Sent: m.counts.sent.Load(), Received: m.counts.received.Load(),
		Dropped: m.counts.dropped.Load(), Misdirected: m.counts.misdirected.Load(),
	}
}

// Close closes all connections and waits for all goroutines.
func (m *Messenger) Close() {
	m.mu.Lock()
	m.cancel()
	m.mu.Unlock()
	m.wg.Wait()
}

// markUnreachable queues a call of the handler's Unreachable for another goroutine,
// because Send may be called while the handler's lock is held. Pending calls for the
// same peer are merged.
func (m *Messenger) markUnreachable(name string, dropped int) {
	m.counts.dropped.Add(uint64(dropped))
	m.reportMu.Lock()
	m.unreachablePeers[name] = true
	m.reportMu.Unlock()
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

func (m *Messenger) reportUnreachable() {
	for {
		select {
		case <-m.wake:
		case <-m.ctx.Done():
			return
		}
		m.reportMu.Lock()
		names := slices.Sorted(maps.Keys(m.unreachablePeers))
		clear(m.unreachablePeers)
		m.reportMu.Unlock()
		for _, name := range names {
			m.handler.Unreachable(name)
		}
	}
}

// receiver handles the streams of other entries.
type receiver struct{ m *Messenger }

// HandleRPC receives the batches of one stream.
func (r receiver) HandleRPC(stream drpc.Stream, rpc string) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = errors.Errorf("panic: %v", p)
			r.m.Logger.Error("panic in handler of peer message", zap.Any("Panic", p), zap.Stack("Stack"))
		}
	}()
	if rpc != streamRPC {
		return errors.Errorf("unknown rpc %q", rpc)
	}
	for {
		var b batch
		if err := stream.MsgRecv(&b, batchEncoding{}); err != nil {
			return err
		}
		if err := r.m.checkSender(stream, b.From); err != nil {
			return err
		}
		if err := r.m.receive(b); err != nil {
			return err
		}
	}
}

// checkSender verifies the sender's name against its certificate.
func (m *Messenger) checkSender(stream drpc.Stream, name string) error {
	if m.Certificates == nil {
		return nil
	}
	tr, ok := transportOf(stream).(*tls.Conn)
	if !ok {
		return errors.New("connection does not use TLS")
	}
	certs := tr.ConnectionState().PeerCertificates
	if len(certs) == 0 {
		return errors.New("peer presented no certificate")
	}
	return certs[0].VerifyHostname(name)
}

func (m *Messenger) receive(b batch) error {
	if b.ForIncarnation != 0 && b.ForIncarnation != m.Incarnation {
		m.counts.misdirected.Add(uint64(len(b.Messages)))
		return nil
	}
	for _, w := range b.Messages {
		msg, err := decode(w)
		if err != nil {
			return errors.Wrapf(err, "decode message from %q", b.From)
		}
		m.counts.received.Add(1)
		m.handler.Received(b.From, b.FromIncarnation, msg)
	}
	return nil
}
