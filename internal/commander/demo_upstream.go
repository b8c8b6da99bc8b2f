package commander

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/azuretrestle/azuretrestle/internal/faker"
)

// leavingBound is the time after which a leaving upstream may get no new work.
const leavingBound = 3 * time.Second

// demoUpstream is an upstream stand-in that notes what reaches it.
type demoUpstream struct {
	faker.Upstream
	service string
	server  *server
	// slow multiplies the time of work; it is 1 for a healthy upstream.
	slow atomic.Int64

	mu        sync.Mutex
	measured  []time.Time
	drainedAt time.Time
	// late counts work that arrived when it should have gone elsewhere for long.
	late int
}

func newDemoUpstream(d deployment, service, name string, slots int) *demoUpstream {
	u := &demoUpstream{service: service, Upstream: faker.Upstream{Name: name, Slots: slots}}
	u.slow.Store(1)
	u.Work = func(r *http.Request) time.Duration {
		rank, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
		mean := d.work(service, rank)
		return (mean/2 + rand.N(mean+1)) * time.Duration(u.slow.Load())
	}
	return u
}

// ServeHTTP takes every request without a key for a measurement, since the
// load generator gives a key to all of its requests.
func (u *demoUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	u.mu.Lock()
	if r.Header.Get("Idempotency-Key") == "" {
		u.measured = append(u.measured, now)
	} else if !u.drainedAt.IsZero() && now.After(u.drainedAt.Add(leavingBound)) {
		u.late++
	}
	u.mu.Unlock()
	u.Upstream.ServeHTTP(w, r)
}

func (u *demoUpstream) drain() {
	u.mu.Lock()
	u.drainedAt = time.Now()
	u.mu.Unlock()
	u.Drain()
}

func (u *demoUpstream) notes() (measured []time.Time, late int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]time.Time(nil), u.measured...), u.late
}
