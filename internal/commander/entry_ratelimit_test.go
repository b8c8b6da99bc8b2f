package commander

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azuretrestle/azuretrestle/platform/faker"
)

// maxInWindow returns the largest number of times within a window of the given length
// that starts at or after from.
func maxInWindow(times []time.Time, from time.Time, window time.Duration) int {
	most, first := 0, 0
	for i, at := range times {
		for times[first].Before(from) && first < i || at.Sub(times[first]) > window {
			first++
		}
		if !at.Before(from) {
			most = max(most, i-first+1)
		}
	}
	return most
}

// TestEntryRateLimit guards against entries that together send an upstream more requests
// than the rate that it names.
func TestEntryRateLimit(t *testing.T) {
	const (
		rate = 2
		// window, slackFactor and slack are the tolerance that the upstreams grant, settle
		// the time that they allow until all entries know of the rate.
		window      = 4 * time.Second
		slackFactor = 1.5
		slack       = 5
		settle      = 3 * time.Second
	)
	is := is.New(t)
	d := deploy(t, 3)
	limited := d.servers[0]
	var mu sync.Mutex
	var runs []time.Time
	limited.OnRun = func(r faker.Run) {
		mu.Lock()
		defer mu.Unlock()
		runs = append(runs, r.At)
	}
	limited.SetRateLimit(fmt.Sprint(rate))
	namedAt := time.Now()
	var work sync.WaitGroup
	for e := range d.entries {
		work.Go(func() {
			for i := 0; time.Since(namedAt) < settle+2*window; i++ {
				d.send(e, http.MethodGet, "/read/x", fmt.Sprint(e, "-", i))
			}
		})
	}
	work.Wait()
	mu.Lock()
	defer mu.Unlock()
	got := maxInWindow(runs, namedAt.Add(settle), window)
	t.Logf("%d requests in the worst window", got)
	is.True(float64(got) <= slackFactor*rate*window.Seconds()+slack)
	is.True(got >= rate) // the upstream still gets a part of what it takes
}
