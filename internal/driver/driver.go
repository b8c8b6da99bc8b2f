package driver

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/azuretrestle/azuretrestle/internal/dialer"
	"github.com/azuretrestle/azuretrestle/internal/messenger"
	"github.com/azuretrestle/azuretrestle/internal/recorder"
	"github.com/azuretrestle/azuretrestle/internal/reducer"
	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

// panicRetryDelay is the time from a panic to the next step of the node. The panic
// may have prevented the execution of a SetTimer effect.
const panicRetryDelay = 10 * time.Millisecond

// Driver feeds a node with events and executes its effects.
type Driver struct {
	logger     *zap.Logger
	limits     Limits
	log        recorder.Log
	lister     recorder.Lister
	metrics    *metrics
	bodyMemory *bodyMemory
	// codec and store are nil unless the driver runs a managed entry.
	codec HeaderCodec
	store Store
	// plainSuccesses counts the requests that succeeded in one attempt, of which logRequest logs only a sample.
	plainSuccesses atomic.Uint64
	// stallTimeout is defaultStallTimeout except in tests.
	stallTimeout time.Duration

	peerListener net.Listener
	certificates *messenger.Certificates
	peers        *messenger.Messenger

	// mu guards the fields below up to drained. Effects are executed with mu held,
	// in order, and never block.
	mu   sync.Mutex
	node *reducer.Node
	// stepNode is the node's Step; tests replace it.
	stepNode     func(reducer.Event) []reducer.Effect
	suspension   *suspension
	timer        *time.Timer
	config       *patcher.Config
	nextID       reducer.RequestID
	calls        map[reducer.RequestID]*call
	attempts     map[reducer.AttemptID]*attempt
	patches      map[reducer.RequestID]chan reducer.AnswerPatch
	pools        map[poolKey]*pool
	managedPools map[poolKey]*dialer.Pool
	// storeReads cancels the store reads in progress, by topic.
	storeReads map[reducer.Topic]context.CancelFunc
	servers    []server
	// drained is closed once all servers have finished their requests after
	// StopListening; it is nil before StopListening.
	drained chan struct{}

	stopping atomic.Bool
	ctx      context.Context
	cancel   context.CancelFunc
	// work counts the handlers, connections and goroutines for which Close waits.
	work      sync.WaitGroup
	closeOnce sync.Once
	done      chan struct{}
}

// Option configures a driver before it starts.
type Option func(*Driver)

// WithLogger makes the driver log to l.
func WithLogger(l *zap.Logger) Option { return func(d *Driver) { d.logger = l } }

// WithPeers makes the driver receive peer messages on lis and send them with the
// given certificates, or over plain TCP if c is nil. The driver takes ownership of lis.
func WithPeers(lis net.Listener, c *messenger.Certificates) Option {
	return func(d *Driver) {
		d.peerListener = lis
		d.certificates = c
	}
}

// New returns a driver for a new node that uses the given platform log and host lister.
func New(o reducer.Options, log recorder.Log, lister recorder.Lister, opts ...Option) *Driver {
	d := &Driver{
		logger:       zap.NewNop(),
		limits:       defaultLimits,
		log:          log,
		lister:       lister,
		bodyMemory:   newBodyMemory(maxBufferedTotal),
		stallTimeout: defaultStallTimeout,
		node:         reducer.New(o),
		calls:        make(map[reducer.RequestID]*call),
		attempts:     make(map[reducer.AttemptID]*attempt),
		patches:      make(map[reducer.RequestID]chan reducer.AnswerPatch),
		pools:        make(map[poolKey]*pool),
		managedPools: make(map[poolKey]*dialer.Pool),
		storeReads:   make(map[reducer.Topic]context.CancelFunc),
		done:         make(chan struct{}),
		suspension:   newSuspension(time.Now(), suspendedTime),
	}
	d.stepNode = d.node.Step
	d.config = d.node.Config()
	for _, opt := range opts {
		opt(d)
	}
	d.metrics = newMetrics(d)
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.peers = messenger.New(messenger.Options{
		Name: o.Name, Incarnation: o.Incarnation, Certificates: d.certificates, Logger: d.logger,
	}, peerEvents{d})
	return d
}

// Start starts the node and returns at once.
func (d *Driver) Start() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.timer = time.AfterFunc(time.Hour, d.timerFired)
	if d.peerListener != nil {
		d.peers.Serve(d.peerListener)
	}
	d.execute(d.node.Start(time.Now()))
}

// View calls f with the node between two steps. f must neither modify nor retain the node.
func (d *Driver) View(f func(*reducer.Node)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(d.node)
}

// Submit submits a patch to the node and waits for the result.
func (d *Driver) Submit(ctx context.Context, p patcher.Patch) (reducer.AnswerPatch, error) {
	result := make(chan reducer.AnswerPatch, 1)
	id := d.submit(p, result)
	select {
	case a := <-result:
		return a, nil
	case <-ctx.Done():
		d.mu.Lock()
		delete(d.patches, id)
		d.mu.Unlock()
		return reducer.AnswerPatch{}, ctx.Err()
	case <-d.ctx.Done():
		return reducer.AnswerPatch{}, context.Canceled
	}
}

func (d *Driver) submit(p patcher.Patch, result chan reducer.AnswerPatch) reducer.RequestID {
	d.mu.Lock()
	defer d.mu.Unlock()
	id := d.newID()
	d.patches[id] = result
	d.step(reducer.PatchSubmitted{Stamp: stamp(), ID: id, Patch: p})
	return id
}

func stamp() reducer.Stamp { return reducer.Stamp{Now: time.Now()} }

func (d *Driver) newID() reducer.RequestID {
	d.nextID++
	return d.nextID
}

// post steps the node with an event; mu must not be held.
func (d *Driver) post(f func(reducer.Stamp) reducer.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.step(f(stamp()))
}

// step steps the node and executes the effects; mu is held. It recovers from a
// panic, so that later steps can follow.
func (d *Driver) step(ev reducer.Event) {
	defer func() {
		if p := recover(); p != nil {
			d.recordPanic(p)
			d.timer.Reset(panicRetryDelay)
		}
	}()
	if s := d.suspension.since(ev.Time()); s > 0 {
		d.logger.Warn("machine was suspended", zap.Duration("For", s))
		d.execute(d.stepNode(reducer.Resumed{Stamp: reducer.Stamp{Now: ev.Time()}, Suspended: s}))
	}
	d.execute(d.stepNode(ev))
	if c := d.node.Config(); c != d.config {
		d.config = c
		d.prune(c)
	}
}

func (d *Driver) recordPanic(p any) {
	d.metrics.panics.Inc()
	d.logger.Error("panic recovered", zap.Any("Panic", p), zap.Stack("Stack"))
}

func (d *Driver) timerFired() {
	if d.ctx.Err() != nil {
		return
	}
	d.post(func(s reducer.Stamp) reducer.Event { return reducer.TimerFired{Stamp: s} })
}

func (d *Driver) execute(effects []reducer.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case reducer.Dispatch:
			d.dispatch(e)
		case reducer.Cancel:
			d.cancelAttempt(e.Attempt)
		case reducer.Relay:
			d.relay(e.Attempt)
		case reducer.Refuse:
			d.sendReply(e.ID, refusal{e})
		case reducer.AnswerStored:
			d.sendReply(e.ID, storedReply{e})
		case reducer.AnswerEntries:
			d.sendReply(e.ID, entriesReply{e})
		case reducer.AnswerKeys:
			d.sendReply(e.ID, keysReply{e})
		case reducer.AnswerPatch:
			d.sendPatchResult(e)
		case reducer.SetTimer:
			d.timer.Reset(time.Until(e.Deadline))
		default:
			d.executeOther(e)
		}
	}
}

// executeOther executes the effects that are not part of serving a request.
func (d *Driver) executeOther(e reducer.Effect) {
	switch e := e.(type) {
	case reducer.Probe:
		d.spawn(func() { d.probe(e) })
	case reducer.CloseIdle:
		d.closeIdle(e)
	case reducer.Send:
		d.peers.Send(e)
	case reducer.Disconnect:
		d.peers.Disconnect(e.Peer)
	case reducer.ReadLog:
		d.spawn(func() { d.readLog(e) })
	case reducer.Append:
		d.spawn(func() { d.append(e) })
	case reducer.ListHosts:
		d.spawn(func() { d.listHosts(e) })
	case reducer.ReadStore:
		d.startStoreRead(e)
	case reducer.Audit:
		d.logAudit(e)
	case reducer.SetCallerLimits:
		d.setCallerLimits(e.Limits)
	case reducer.Stop:
		d.enterStopPhase(e.Phase)
	default:
		d.logger.Error("unknown effect type", zap.Any("Effect", e))
	}
}

// spawn runs f in a goroutine unless the driver is closing. It must be called with
// mu held, so that Close either waits for the goroutine or prevents it.
func (d *Driver) spawn(f func()) {
	if d.ctx.Err() != nil {
		return
	}
	d.work.Go(func() {
		defer func() {
			if p := recover(); p != nil {
				d.recordPanic(p)
			}
		}()
		f()
	})
}

func (d *Driver) sendPatchResult(a reducer.AnswerPatch) {
	if ch, ok := d.patches[a.ID]; ok {
		delete(d.patches, a.ID)
		ch <- a
	}
}

func (d *Driver) logAudit(e reducer.Audit) {
	d.metrics.stateChanges.WithLabelValues(e.Action).Inc()
	d.logger.Info("state changed",
		zap.String("Action", e.Action), zap.String("Subject", e.Subject), zap.String("Cause", e.Cause),
		zap.String("Actor", e.Actor), zap.Uint64("Version", e.Version), zap.Time("At", e.At))
}
