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
	// http sends direct requests; nil if requests go through entries.
	http *http.Client
	// inFlight limits the requests in flight by its capacity.
	inFlight chan struct{}
	work     sync.WaitGroup

	mu      sync.Mutex
	results []result
	offered int
	// ended counts the requests with a result, also those that were not sent.
	ended int
}

// Run offers the load for the duration or until ctx ends, and reports the results.
// It fails only if the options are invalid.
func Run(ctx context.Context, o Options) (*Report, error) {
	if len(o.Seeds) == 0 && o.Direct == nil || len(o.Ranks) == 0 || o.Duration <= 0 {
		return nil, errors.New("load not started: seeds or direct upstreams, ranks and a positive duration are required")
	}
	if o.InFlight <= 0 {
		o.InFlight = defaultInFlight
	}
	if len(o.DataCentres) == 0 {
		o.DataCentres = []string{""}
	}
	r := &run{options: o, id: uuid.NewString(), inFlight: make(chan struct{}, o.InFlight)}
	r.openClients()
	defer r.closeClients()
	r.offerLoad(ctx)
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

// offerLoad runs the schedules and waits until all requests have ended.
func (r *run) offerLoad(ctx context.Context) {
	r.begin = time.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	end := r.begin.Add(r.options.Duration)
	for _, s := range r.schedules() {
		r.work.Go(func() { r.runSchedule(ctx, s, end) })
	}
	finished := make(chan struct{})
	go func() {
		r.work.Wait()
		close(finished)
	}()
	r.watchProgress(ctx, finished)
	<-finished
}

// watchProgress reports the progress periodically until the run has finished or ctx ends.
func (r *run) watchProgress(ctx context.Context, finished <-chan struct{}) {
	t := time.NewTicker(progressInterval)
	defer t.Stop()
	for {
		select {
		case <-finished:
			return
		case <-ctx.Done():
			return
		case now := <-t.C:
			r.reportProgress(now)
		}
	}
}

func (r *run) reportProgress(now time.Time) {
	if r.options.Progress == nil {
		return
	}
	r.mu.Lock()
	p := Progress{Elapsed: now.Sub(r.begin), Offered: r.offered, Answered: r.ended}
	r.mu.Unlock()
	r.options.Progress(p)
}

// runSchedule starts the requests of one rank at their intended times. If the
// generator itself is late, the delay counts as latency.
func (r *run) runSchedule(ctx context.Context, s *schedule, end time.Time) {
	for n := 0; ; n++ {
		at := s.next()
		if at.After(end) || !sleepUntil(ctx, at) {
			return
		}
		r.mu.Lock()
		r.offered++
		r.mu.Unlock()
		select {
		case r.inFlight <- struct{}{}:
			r.work.Go(func() {
				defer func() { <-r.inFlight }()
				r.sendAndRecord(ctx, s, n, at)
			})
		default:
			r.record(result{rank: s.rank, at: at, class: classNotSent})
		}
	}
}

// sleepUntil waits until a time; it reports false if ctx ends first.
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
	r.ended++
	r.results = append(r.results, res)
}
