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

// drainLimit is the time after the start of a drain from which an upstream must receive no new requests.
const drainLimit = 3 * time.Second

// demoUpstream is a fake upstream that records the measurements and late requests that it receives.
type demoUpstream struct {
	faker.Upstream
	service string
	server  *server
	// slowdown multiplies the processing time; it is 1 for a healthy upstream.
	slowdown atomic.Int64

	mu           sync.Mutex
	measurements []time.Time
	drainedAt    time.Time
	// lateRequests counts requests that arrived more than drainLimit after the start of the drain.
	lateRequests int
}

func newDemoUpstream(d deployment, service, name string, slots int) *demoUpstream {
	u := &demoUpstream{service: service, Upstream: faker.Upstream{Name: name, Slots: slots}}
	u.slowdown.Store(1)
	u.Work = func(r *http.Request) time.Duration {
		rank, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
		mean := d.processingTime(service, rank)
		return (mean/2 + rand.N(mean+1)) * time.Duration(u.slowdown.Load())
	}
	return u
}

// ServeHTTP counts every request without an idempotency key as a measurement, since
// the load generator sends a key with each of its requests.
func (u *demoUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	u.mu.Lock()
	if r.Header.Get("Idempotency-Key") == "" {
		u.measurements = append(u.measurements, now)
	} else if !u.drainedAt.IsZero() && now.After(u.drainedAt.Add(drainLimit)) {
		u.lateRequests++
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

func (u *demoUpstream) observations() (measurements []time.Time, late int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]time.Time(nil), u.measurements...), u.lateRequests
}
