package commander

import (
	"context"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azuretrestle/azuretrestle/pkg/caller"
)

// stopCallers is the number of clients that send the load of a stop test.
const stopCallers = 100

// stopLoad sends requests at a fixed rate through the client library.
type stopLoad struct {
	*testing.T
	system   *demoSystem
	clients  atomic.Pointer[[]*caller.Client]
	requests sync.WaitGroup
	sent     atomic.Int64
	// retried and retriedOnceOnly count requests that succeeded after more than one attempt.
	retried, retriedOnceOnly, failed atomic.Int64
}

// renewClients replaces all clients, so that each fetches the list of entries at its first request.
func (l *stopLoad) renewClients() {
	var list []*caller.Client
	for range stopCallers {
		c := caller.New(l.system.callers())
		l.Cleanup(c.Close)
		list = append(list, c)
	}
	l.clients.Store(&list)
}

func (l *stopLoad) run(ctx context.Context, perMillisecond int) {
	t := time.NewTicker(time.Millisecond)
	defer t.Stop()
	for ctx.Err() == nil {
		<-t.C
		for range perMillisecond {
			l.requests.Go(l.sendOne)
		}
	}
	l.requests.Wait()
}

func (l *stopLoad) sendOne() {
	n := l.sent.Add(1)
	r := caller.Request{Service: "Tickets", Rank: "Lookup", Path: "/x"}
	if n%21 == 0 {
		r = caller.Request{Service: "Payments", Rank: "Posting", Method: http.MethodPost, Path: "/x", OnceOnly: true, Body: []byte("x")}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	list := *l.clients.Load()
	a, err := list[n%int64(len(list))].Do(ctx, r)
	switch {
	case err != nil:
		l.failed.Add(1)
		l.Logf("%s at %s: %s", r.Rank, time.Now().Format("05.000"), err)
	case a.Attempts > 1 && r.OnceOnly:
		l.retriedOnceOnly.Add(1)
	case a.Attempts > 1:
		l.retried.Add(1)
	}
}

// stopEntry carries out a planned stop. The clients fetch the list of entries just before it
// begins, so that some use the most recent list possible that contains the stopping entry.
func (l *stopLoad) stopEntry(is *is.I) {
	list := l.system.running()
	en := list[len(list)-1]
	l.renewClients()
	time.Sleep(10 * time.Millisecond)
	startedAt := time.Now()
	is.NoErr(en.drain(l.Context()))
	l.system.markStopped(en)
	l.Logf("%s stopped at %s after %s", en.settings.Name, startedAt.Format("05.000"), time.Since(startedAt))
}

// envInt returns the number in an environment variable, or defaultValue. For a measurement,
// AZURETRESTLE_STOPS sets the number of stops and AZURETRESTLE_STOP_LOAD the thousands of
// requests per second.
func envInt(name string, defaultValue int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return defaultValue
}

// TestPlannedStopUnderLoad guards against a planned stop under load that loses requests or
// makes callers retry lookups.
func TestPlannedStopUnderLoad(t *testing.T) {
	is := is.New(t)
	s, err := startDemo(t.Context(), deployments["Koshi"], 4)
	is.NoErr(err)
	defer s.close()
	l := &stopLoad{T: t, system: s}
	l.renewClients()
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		l.run(ctx, envInt("AZURETRESTLE_STOP_LOAD", 1))
	}()
	time.Sleep(500 * time.Millisecond)
	for range envInt("AZURETRESTLE_STOPS", 1) {
		l.stopEntry(is)
	}
	cancel()
	<-ended
	t.Logf("%d sent, %d lookups retried, %d postings retried, %d failed",
		l.sent.Load(), l.retried.Load(), l.retriedOnceOnly.Load(), l.failed.Load())
	is.Equal(l.retried.Load(), int64(0))
	is.Equal(l.failed.Load(), int64(0))
}
