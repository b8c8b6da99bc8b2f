package driver

import (
	"context"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/azuretrestle/azuretrestle/internal/recorder"
	"github.com/azuretrestle/azuretrestle/internal/reducer"
	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

// Driver feeds a node with events and carries out its effects.
type Driver struct {
	logger *zap.Logger
	log    recorder.Log
	lister recorder.Lister

	// mu guards all below; effects are carried out under it, in order, and never block.
	mu       sync.Mutex
	node     *reducer.Node
	timer    *time.Timer
	nextID   reducer.RequestID
	calls    map[reducer.RequestID]*call
	attempts map[reducer.AttemptID]*attempt
	patches  map[reducer.RequestID]chan reducer.AnswerPatch
	pools    map[string]*http.Transport

	ctx    context.Context
	cancel context.CancelFunc
	work   sync.WaitGroup
	done   chan struct{}
}

// Option changes a driver before it starts.
type Option func(*Driver)

// WithLogger makes the driver log to l.
func WithLogger(l *zap.Logger) Option { return func(d *Driver) { d.logger = l } }

// New returns a driver of a node that uses the given platform.
func New(o reducer.Options, log recorder.Log, lister recorder.Lister, opts ...Option) *Driver {
	d := &Driver{
		logger:   zap.NewNop(),
		log:      log,
		lister:   lister,
		node:     reducer.New(o),
		calls:    make(map[reducer.RequestID]*call),
		attempts: make(map[reducer.AttemptID]*attempt),
		patches:  make(map[reducer.RequestID]chan reducer.AnswerPatch),
		pools:    make(map[string]*http.Transport),
		done:     make(chan struct{}),
	}
	for _, opt := range opts {
		opt(d)
	}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	return d
}

// Start begins the node's work; it returns at once.
func (d *Driver) Start() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.timer = time.AfterFunc(time.Hour, d.timerFired)
	d.carryOut(d.node.Start(time.Now()))
}

// Close abandons all work and waits for its end.
func (d *Driver) Close() {
	d.cancel()
	d.mu.Lock()
	d.timer.Stop()
	d.mu.Unlock()
	d.work.Wait()
	for _, t := range d.pools {
		t.CloseIdleConnections()
	}
	close(d.done)
}

// Done is closed once the driver has ended.
func (d *Driver) Done() <-chan struct{} { return d.done }

// View runs f on the node between two steps; f must not change or keep it.
func (d *Driver) View(f func(*reducer.Node)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(d.node)
}

// Submit gives a patch to the node and waits for the verdict.
func (d *Driver) Submit(ctx context.Context, p patcher.Patch) (reducer.AnswerPatch, error) {
	answer := make(chan reducer.AnswerPatch, 1)
	d.mu.Lock()
	id := d.newID()
	d.patches[id] = answer
	d.step(reducer.PatchSubmitted{Stamp: stamp(), ID: id, Patch: p})
	d.mu.Unlock()
	select {
	case a := <-answer:
		return a, nil
	case <-ctx.Done():
		return reducer.AnswerPatch{}, ctx.Err()
	case <-d.ctx.Done():
		return reducer.AnswerPatch{}, context.Canceled
	}
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

// step must be called with mu held.
func (d *Driver) step(ev reducer.Event) { d.carryOut(d.node.Step(ev)) }

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
		case reducer.ReadLog:
			d.spawn(func() { d.readLog(e) })
		case reducer.Append:
			d.spawn(func() { d.append(e) })
		case reducer.SetTimer:
			d.timer.Reset(time.Until(e.Deadline))
		case reducer.AnswerPatch:
			d.answerPatch(e)
		}
	}
}

func (d *Driver) spawn(f func()) {
	if d.ctx.Err() != nil {
		return
	}
	d.work.Go(f)
}

func (d *Driver) answerPatch(a reducer.AnswerPatch) {
	if ch, ok := d.patches[a.ID]; ok {
		delete(d.patches, a.ID)
		ch <- a
	}
}
