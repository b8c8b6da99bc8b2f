package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
)

// TestEndAtDeadline guards against calls that keep a goroutine or a connection because
// their response arrives as their context ends.
func TestEndAtDeadline(t *testing.T) {
	is := is.New(t)
	known := goleak.IgnoreCurrent()
	const (
		calls   = 400
		workers = 8
		timeout = 10 * time.Millisecond
		spread  = 2 * time.Millisecond
	)
	var address netip.AddrPort
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/entries" {
			_ = json.NewEncoder(w).Encode(wireEntries{Entries: []Entry{{Name: "e", Address: address}}, Expires: time.Now().Add(time.Minute)})
			return
		}
		sent, err := time.Parse(time.RFC3339Nano, r.Header.Get(headerDeadline))
		if err == nil {
			// The number of the call spreads the responses around its deadline.
			time.Sleep(time.Until(sent.Add(time.Duration(len(r.URL.Path)%5-2) * spread / 2)))
		}
		w.Header().Set(headerOutcome, "Done")
		_, _ = w.Write([]byte("answer"))
	}))
	address = netip.MustParseAddrPort(entry.Listener.Addr().String())
	client := New([]netip.AddrPort{address}, WithAttempts(1))
	_, err := client.Entries(t.Context())
	is.NoErr(err)
	var wait sync.WaitGroup
	paths := []string{"/", "/1", "/12", "/123", "/1234"}
	for worker := range workers {
		wait.Go(func() {
			for i := range calls / workers {
				ctx, cancel := context.WithTimeout(t.Context(), timeout)
				_, _ = client.Do(ctx, Request{Service: "S", Rank: "R", Path: paths[(worker+i)%len(paths)]})
				cancel()
			}
		})
	}
	wait.Wait()
	client.Close()
	entry.Close()
	goleak.VerifyNone(t, known)
}
