package loader

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/azuretrestle/azuretrestle/pkg/caller"
)

// run is the state of one run.
type run struct {
	options Options
	id      string
	begin   time.Time
	clients []*caller.Client
	http    *http.Client
	slots   chan struct{}
	work    sync.WaitGroup

	mu      sync.Mutex
	results []result
	offered int
	done    int
}

// Run offers the load until the duration is over or ctx ends, and returns what
// came back. It fails only if it can't begin.
func Run(ctx context.Context, o Options) (*Report, error) {
	if len(o.Seeds) == 0 && o.Direct == nil || len(o.Ranks) == 0 || o.Duration <= 0 {
		return nil, errors.New("a run needs entries, ranks and a duration")
	}
	if o.InFlight <= 0 {
		o.InFlight = defaultInFlight
	}
	if len(o.DataCentres) == 0 {
		o.DataCentres = []string{""}
	}
	r := &run{options: o, id: uuid.NewString(), slots: make(chan struct{}, o.InFlight)}
	r.openClients()
	defer r.closeClients()
	r.offer(ctx)
	return r.report(), nil
}

func (r *run) openClients() {
	if r.options.Direct != nil {
		r.http = directClient()
		return
	}
	for _, dc := range r.options.DataCentres {
		r.clients = append(r.clients, caller.New(r.options.Seeds, caller.WithDataCentre(dc)))
	}
}

func (r *run) closeClients() {
	if r.http != nil {
		r.http.CloseIdleConnections()
	}
	for _, c := range r.clients {
		c.Close()
	}
}

// offer starts the requests and waits for the last of them.
func (r *run) offer(ctx context.Context) {
	r.begin = time.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	last := r.begin.Add(r.options.Duration)
	for _, s := range r.schedules() {
		r.work.Go(func() { r.follow(ctx, s, last) })
	}
	finished := make(chan struct{})
	go func() {
		r.work.Wait()
		close(finished)
	}()
	r.watch(ctx, finished)
	<-finished
}

func (r *run) watch(ctx context.Context, finished <-chan struct{}) {
	t := time.NewTicker(progressInterval)
	defer t.Stop()
	for {
		select {
		case <-finished:
			return
		case <-ctx.Done():
			return
		case now := <-t.C:
			r.progress(now)
		}
	}
}

func (r *run) progress(now time.Time) {
	if r.options.Progress == nil {
		return
	}
	r.mu.Lock()
	p := Progress{Elapsed: now.Sub(r.begin), Offered: r.offered, Answered: r.done}
	r.mu.Unlock()
	r.options.Progress(p)
}

// follow starts the requests of one rank at their intended times. If the
// generator itself lags, the delay counts as latency.
func (r *run) follow(ctx context.Context, s *schedule, last time.Time) {
	for n := 0; ; n++ {
		at := s.next()
		if at.After(last) || !sleepUntil(ctx, at) {
			return
		}
		r.mu.Lock()
		r.offered++
		r.mu.Unlock()
		select {
		case r.slots <- struct{}{}:
			r.work.Go(func() {
				defer func() { <-r.slots }()
				r.one(ctx, s, n, at)
			})
		default:
			r.record(result{rank: s.rank, at: at, class: classNotSent})
		}
	}
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	d := time.Until(at)
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *run) record(res result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.done++
	r.results = append(r.results, res)
}
