package driver_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azuretrestle/azuretrestle/internal/driver"
	"github.com/azuretrestle/azuretrestle/internal/faker"
	"github.com/azuretrestle/azuretrestle/internal/recorder"
	"github.com/azuretrestle/azuretrestle/internal/reducer"
	"github.com/azuretrestle/azuretrestle/pkg/classifier"
	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

func address(s *httptest.Server) netip.AddrPort {
	return netip.MustParseAddrPort(s.Listener.Addr().String())
}

func listen(t testing.TB, h http.Handler) netip.AddrPort {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return address(s)
}

func period(d time.Duration) patcher.Period { return patcher.Period{Duration: d} }

// TestLookup guards against a failure anywhere on the path from a patch in the log to a served lookup.
func TestLookup(t *testing.T) {
	is := is.New(t)
	log := listen(t, faker.NewLog().Handler())
	list := listen(t, new(faker.List).Handler())
	up := listen(t, &faker.Upstream{Name: "t1", Slots: 2})
	platform := recorder.NewClient(log, list)
	defer platform.Close()

	d := driver.New(reducer.Options{Name: "e1", Incarnation: 1, DataCentre: "a", Seed: 1}, platform, platform)
	d.Start()
	defer d.Close()
	entry := listen(t, d.Handler())

	a, err := d.Submit(context.Background(), patcher.Patch{ID: "p1", Operations: []patcher.Operation{
		patcher.PutService{Service: patcher.Service{
			Name: "Tickets", MaxEntries: 8,
			Ranks: []patcher.Rank{{
				Name: "Lookup", Kind: patcher.Idempotent, Target: period(time.Second),
				Patience: period(5 * time.Second), MaxQueue: 10,
			}},
			Upstreams: []patcher.Upstream{{Name: "t1", Address: up, DataCentre: "a", Slots: 2, Connections: 4}},
		}},
	}})
	is.NoErr(err)
	is.Equal(a.Code, classifier.OK)
	is.Equal(a.Version, uint64(1))

	resp, err := http.Get("http://" + entry.String() + "/call/Tickets/Lookup/suppliers/7?full=1")
	is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(string(body), "t1 GET /suppliers/7 0\n")
}
