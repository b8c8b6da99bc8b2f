package commander

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azuretrestle/azuretrestle/platform/faker"
)

// sendHeader sends a lookup with a header of the given size and returns the status of
// the response, 0 if there was none.
func (d *testDeployment) sendHeader(entry, size int, id string) int {
	req, err := faker.NewRequest(context.Background(), http.MethodGet, d.entries[entry].settings.Callers.String(), "/read/x", id, 2*time.Second)
	if err != nil {
		d.t.Fatal(err)
	}
	req.Header.Set("Authorization", strings.Repeat("a", size))
	resp, err := d.client.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode
}

// TestEntryCallerLimits guards against entries that learn a version from a peer, running or
// starting, and refuse requests that are within its limits.
func TestEntryCallerLimits(t *testing.T) {
	const entries, limit, size = 3, 64 << 10, 32 << 10
	is := is.New(t)
	d := deploy(t, entries)
	is.Equal(d.sendHeader(0, size, "before"), http.StatusRequestHeaderFieldsTooLarge)
	d.store.Put(faker.TopicOperator, "config", faker.LimitedDocument(2, "tickets", limit))
	for i := range entries {
		name := fmt.Sprintf("e%d", i)
		d.wait(name+" with version 2", func() bool { return d.hasVersion(name, 2) })
	}
	d.store.SetFault(faker.StoreRefuses)
	s := *d.entries[0].settings
	free, err := freePorts(5)
	is.NoErr(err)
	s.Name, s.Seeds = "e3", []netip.AddrPort{s.Peers}
	s.Callers, s.Peers, s.Readiness, s.Directory, s.Metrics = free[0], free[1], free[2], free[3], free[4]
	d.start(&s)
	for i := range entries + 1 {
		is.Equal(d.sendHeader(i, size, fmt.Sprint("after", i)), http.StatusOK)
	}
}

// hasVersion reports whether an entry has logged a version as the one in force.
func (d *testDeployment) hasVersion(entry string, version int) bool {
	for line := range strings.Lines(d.logs.String()) {
		if strings.Contains(line, `"ConfigInForce"`) && strings.Contains(line, fmt.Sprintf(`"Entry":"%s"`, entry)) &&
			strings.Contains(line, fmt.Sprintf(`"Version":%d,`, version)) {
			return true
		}
	}
	return false
}
