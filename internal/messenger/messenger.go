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
	// silentAfter closes an incoming connection without data; it exceeds
	// idleAfter, so that normally the sender closes first.
	silentAfter = 2 * time.Minute
	maxIncoming = 1024
)

// Handler takes what the messenger receives; its methods are called from
// several goroutines and may call Send.
type Handler interface {
	// Received takes a message meant for this incarnation.
	Received(from string, incarnation uint64, m reducer.PeerMessage)
	// Unreachable reports that at least one message to the peer may not have been delivered.
	Unreachable(peer string)
}

// Options describes a messenger.
type Options struct {
	// Name and Incarnation are put on every batch.
	Name        string
	Incarnation uint64
	// Certificates secures the connections with mutual TLS; nil means plain TCP.
	Certificates *Certificates
	Logger       *zap.Logger
}

// Messenger exchanges messages with other entries.
type Messenger struct {
	Options
	handler Handler
	ctx     context.Context
	cancel  context.CancelFunc
	work    sync.WaitGroup
	slots   chan struct{}
	counts  counters
	// idle is idleAfter.
	idle time.Duration

	mu    sync.Mutex
	peers map[string]*peer

	reportMu sync.Mutex
	// reports holds the peers whose Unreachable is still to be called.
	reports map[string]bool
	wake    chan struct{}
}

// counters are read by Stats while messages pass.
type counters struct {
	sent, received, dropped, misdirected atomic.Uint64
}

// Stats tells how many messages passed since the start.
type Stats struct {
	Peers       int
	Sent        uint64
	Received    uint64
	Dropped     uint64
	Misdirected uint64
}

// New returns a messenger that sends; Serve makes it receive.
func New(o Options, h Handler) *Messenger {
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	m := &Messenger{
		Options: o, handler: h, idle: idleAfter,
		slots:   make(chan struct{}, maxIncoming),
		peers:   make(map[string]*peer),
		reports: make(map[string]bool),
		wake:    make(chan struct{}, 1),
	}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	m.work.Go(m.report)
	return m
}

// Serve receives messages on the listener until Close; it returns at once and owns the listener.
func (m *Messenger) Serve(lis net.Listener) {
	lis = &limitListener{Listener: lis, slots: m.slots, done: m.ctx.Done()}
	if m.Certificates != nil {
		lis = tls.NewListener(lis, m.Certificates.server())
	}
	server := drpcserver.NewWithOptions(receiver{m}, drpcserver.Options{
		Manager: drpcmanager.Options{
			Reader:            drpcwire.ReaderOptions{MaximumBufferSize: maxBatch},
			InactivityTimeout: silentAfter,
		},
		Log: func(err error) { m.Logger.Debug("peer connection ended", zap.NamedError("Error", err)) },
	})
	m.work.Go(func() {
		if err := server.Serve(m.ctx, lis); err != nil {
			m.Logger.Error("peer listener failed", zap.NamedError("Error", err))
		}
	})
}

// Send queues a message; it never blocks. What can't be delivered is dropped and reported to the handler.
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
		m.work.Go(p.run)
	}
	if !p.push(s) {
		m.unreachable(s.To, 1)
	}
}

// Disconnect makes the next message to a peer use a new connection, since the
// one there is may have gone silent.
func (m *Messenger) Disconnect(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p, ok := m.peers[name]; ok {
		p.abandon()
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

// Close ends all connections and waits for their goroutines.
func (m *Messenger) Close() {
	m.mu.Lock()
	m.cancel()
	m.mu.Unlock()
	m.work.Wait()
}

// unreachable leaves the report to a goroutine of its own, because Send may be
// called with the handler's lock held. Reports on the same peer are merged.
func (m *Messenger) unreachable(name string, dropped int) {
	m.counts.dropped.Add(uint64(dropped))
	m.reportMu.Lock()
	m.reports[name] = true
	m.reportMu.Unlock()
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

func (m *Messenger) report() {
	for {
		select {
		case <-m.wake:
		case <-m.ctx.Done():
			return
		}
		m.reportMu.Lock()
		names := slices.Sorted(maps.Keys(m.reports))
		clear(m.reports)
		m.reportMu.Unlock()
		for _, name := range names {
			m.handler.Unreachable(name)
		}
	}
}

// receiver serves the streams of other entries.
type receiver struct{ m *Messenger }

// HandleRPC receives the batches of one stream.
func (r receiver) HandleRPC(stream drpc.Stream, rpc string) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = errors.Errorf("panic: %v", p)
			r.m.Logger.Error("handler of a peer message panicked", zap.Any("Panic", p), zap.Stack("Stack"))
		}
	}()
	if rpc != streamRPC {
		return errors.Errorf("unknown rpc %q", rpc)
	}
	for {
		var b batch
		if err := stream.MsgRecv(&b, encoding{}); err != nil {
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

// checkSender compares the sender's name with its certificate.
func (m *Messenger) checkSender(stream drpc.Stream, name string) error {
	if m.Certificates == nil {
		return nil
	}
	tr, ok := transportOf(stream).(*tls.Conn)
	if !ok {
		return errors.New("connection is not secured")
	}
	certs := tr.ConnectionState().PeerCertificates
	if len(certs) == 0 {
		return errors.New("peer shows no certificate")
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
			return errors.Wrapf(err, "message from %q", b.From)
		}
		m.counts.received.Add(1)
		m.handler.Received(b.From, b.FromIncarnation, msg)
	}
	return nil
}
