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

// recoverAfter is when the node is stepped again after a panic, which may have lost its timer.
const recoverAfter = 10 * time.Millisecond

// Driver feeds a node with events and carries out its effects.
type Driver struct {
	logger  *zap.Logger
	limits  Limits
	log     recorder.Log
	lister  recorder.Lister
	metrics *metrics
	memory  memory
	// wire and store are nil unless the driver runs a managed entry.
	wire  Wire
	store Store
	// served counts requests, of which only some that went well are logged.
	served atomic.Uint64
	// progress is progressPatience.
	progress time.Duration

	peerListener net.Listener
	certificates *messenger.Certificates
	peers        *messenger.Messenger

	// mu guards all below; effects are carried out under it, in order, and never block.
	mu   sync.Mutex
	node *reducer.Node
	// decide is the node's Step.
	decide   func(reducer.Event) []reducer.Effect
	timer    *time.Timer
	config   *patcher.Config
	nextID   reducer.RequestID
	calls    map[reducer.RequestID]*call
	attempts map[reducer.AttemptID]*attempt
	patches  map[reducer.RequestID]chan reducer.AnswerPatch
	pools    map[poolKey]*pool
	conns    map[poolKey]*dialer.Pool
	// reads ends the reads of the store in progress.
	reads   map[reducer.Topic]context.CancelFunc
	servers []server
	// drained is closed once all servers have ended their requests after StopListening; nil before.
	drained chan struct{}

	stopping  atomic.Bool
	ctx       context.Context
	cancel    context.CancelFunc
	work      sync.WaitGroup
	closeOnce sync.Once
	done      chan struct{}
}

// Option changes a driver before it starts.
type Option func(*Driver)

// WithLogger makes the driver log to l.
func WithLogger(l *zap.Logger) Option { return func(d *Driver) { d.logger = l } }

// WithPeers makes the driver receive peer messages on lis, which it owns from
// then on, and send them with the given certificates, nil for plain TCP.
func WithPeers(lis net.Listener, c *messenger.Certificates) Option {
	return func(d *Driver) {
		d.peerListener = lis
		d.certificates = c
	}
}

// New returns a driver of a node that uses the given platform.
func New(o reducer.Options, log recorder.Log, lister recorder.Lister, opts ...Option) *Driver {
	d := &Driver{
		logger:   zap.NewNop(),
		limits:   defaultLimits,
		log:      log,
		lister:   lister,
		memory:   memory{limit: maxMemory},
		progress: progressPatience,
		node:     reducer.New(o),
		calls:    make(map[reducer.RequestID]*call),
		attempts: make(map[reducer.AttemptID]*attempt),
		patches:  make(map[reducer.RequestID]chan reducer.AnswerPatch),
		pools:    make(map[poolKey]*pool),
		conns:    make(map[poolKey]*dialer.Pool),
		reads:    make(map[reducer.Topic]context.CancelFunc),
		done:     make(chan struct{}),
	}
	d.decide = d.node.Step
	d.config = d.node.Config()
	for _, opt := range opts {
		opt(d)
	}
	d.metrics = newMetrics(d)
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.peers = messenger.New(messenger.Options{
		Name: o.Name, Incarnation: o.Incarnation, Certificates: d.certificates, Logger: d.logger,
	}, fromPeers{d})
	return d
}

// Start begins the node's work; it returns at once.
func (d *Driver) Start() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.timer = time.AfterFunc(time.Hour, d.timerFired)
	if d.peerListener != nil {
		d.peers.Serve(d.peerListener)
	}
	d.carryOut(d.node.Start(time.Now()))
}

// View runs f on the node between two steps; f must not change or keep it.
func (d *Driver) View(f func(*reducer.Node)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(d.node)
}

// Submit gives a patch to the node and waits for the verdict.
func (d *Driver) Submit(ctx context.Context, p patcher.Patch) (reducer.AnswerPatch, error) {
	answer := make(chan reducer.AnswerPatch, 1)
	id := d.submit(p, answer)
	select {
	case a := <-answer:
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

func (d *Driver) submit(p patcher.Patch, answer chan reducer.AnswerPatch) reducer.RequestID {
	d.mu.Lock()
	defer d.mu.Unlock()
	id := d.newID()
	d.patches[id] = answer
	d.step(reducer.PatchSubmitted{Stamp: stamp(), ID: id, Patch: p})
	return id
}

func stamp() reducer.Stamp { return reducer.Stamp{Now: time.Now()} }

func (d *Driver) newID() reducer.RequestID {
	d.nextID++
	return d.nextID
}

// post steps the node with an event that a goroutine of the driver made.
func (d *Driver) post(f func(reducer.Stamp) reducer.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.step(f(stamp()))
}

// step must be called with mu held. A panic ends neither the process nor later steps.
func (d *Driver) step(ev reducer.Event) {
	defer func() {
		if p := recover(); p != nil {
			d.panicked(p)
			d.timer.Reset(recoverAfter)
		}
	}()
	d.carryOut(d.decide(ev))
	if c := d.node.Config(); c != d.config {
		d.config = c
		d.prune(c)
	}
}

func (d *Driver) panicked(p any) {
	d.metrics.panics.Inc()
	d.logger.Error("panic recovered", zap.Any("Panic", p), zap.Stack("Stack"))
}

func (d *Driver) timerFired() {
	if d.ctx.Err() != nil {
		return
	}
	d.post(func(s reducer.Stamp) reducer.Event { return reducer.TimerFired{Stamp: s} })
}

func (d *Driver) carryOut(effects []reducer.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case reducer.Dispatch:
			d.dispatch(e)
		case reducer.Cancel:
			d.cancelAttempt(e.Attempt)
		case reducer.Relay:
			d.relay(e.Attempt)
		case reducer.Refuse:
			d.end(e.ID, refusal{e})
		case reducer.AnswerStored:
			d.end(e.ID, stored{e})
		case reducer.AnswerEntries:
			d.end(e.ID, entries{e})
		case reducer.AnswerKeys:
			d.end(e.ID, keys{e})
		case reducer.AnswerPatch:
			d.answerPatch(e)
		case reducer.SetTimer:
			d.timer.Reset(time.Until(e.Deadline))
		default:
			d.carryOutRare(e)
		}
	}
}

// carryOutRare handles the effects that are not part of serving a request.
func (d *Driver) carryOutRare(e reducer.Effect) {
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
		d.startRead(e)
	case reducer.Audit:
		d.audit(e)
	case reducer.Stop:
		d.enterPhase(e.Phase)
	default:
		d.logger.Error("effect of unknown type", zap.Any("Effect", e))
	}
}

// spawn must be called with mu held, so that Close sees all work or prevents it.
func (d *Driver) spawn(f func()) {
	if d.ctx.Err() != nil {
		return
	}
	d.work.Go(func() {
		defer func() {
			if p := recover(); p != nil {
				d.panicked(p)
			}
		}()
		f()
	})
}

func (d *Driver) answerPatch(a reducer.AnswerPatch) {
	if ch, ok := d.patches[a.ID]; ok {
		delete(d.patches, a.ID)
		ch <- a
	}
}

func (d *Driver) audit(e reducer.Audit) {
	d.metrics.changes.WithLabelValues(e.Action).Inc()
	d.logger.Info("state changed",
		zap.String("Action", e.Action), zap.String("Subject", e.Subject), zap.String("Cause", e.Cause),
		zap.String("Actor", e.Actor), zap.Uint64("Version", e.Version), zap.Time("At", e.At))
}
