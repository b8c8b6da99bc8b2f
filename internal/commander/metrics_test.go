package commander

import (
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/azuretrestle/azuretrestle/pkg/caller"
	"github.com/azuretrestle/azuretrestle/platform"
)

var (
	metricName = regexp.MustCompile(`\b(azuretrestle|process|go)_[a-z_]+[a-z]\b`)
	metricLine = regexp.MustCompile(`(?m)^# TYPE (\S+) `)
)

// metricsOf returns the names of the metrics at an administration address.
func metricsOf(t *testing.T, admin netip.AddrPort) map[string]bool {
	t.Helper()
	is := is.New(t)
	resp, err := http.Get("http://" + admin.String() + "/metrics")
	is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	is.Equal(resp.StatusCode, http.StatusOK)
	text, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	names := make(map[string]bool)
	for _, m := range metricLine.FindAllStringSubmatch(string(text), -1) {
		names[m[1]] = true
	}
	return names
}

// TestDocumentedMetrics guards against pages that name metrics that no entry exports, for
// example in alerts, and against metrics that neither OPERATIONS.md nor ADMIN.md documents.
func TestDocumentedMetrics(t *testing.T) {
	is := is.New(t)
	s, err := startDemo(t.Context(), deployments["Koshi"], minDemoEntries)
	is.NoErr(err)
	defer s.close()
	settings := s.entries[0].settings
	resp, err := http.Post("http://"+settings.Administration.String()+"/patches", "application/json", strings.NewReader(`{"Base": 99}`))
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	client := caller.New([]netip.AddrPort{settings.Callers}, caller.WithFixedEntries())
	defer client.Close()
	_, err = client.Do(t.Context(), caller.Request{Service: "Tickets", Rank: "Lookup", Path: "/x"})
	is.NoErr(err)
	names := metricsOf(t, settings.Administration)
	for deadline := time.Now().Add(10 * time.Second); !names["azuretrestle_probes_total"] || !names["azuretrestle_state_changes_total"]; {
		if time.Now().After(deadline) {
			break
		}
		time.Sleep(50 * time.Millisecond)
		names = metricsOf(t, settings.Administration)
	}
	log := newPlatformLog(io.Discard, &platform.Settings{})
	defer log.writer.close()
	for _, c := range log.collectors() {
		described := make(chan *prometheus.Desc, 1)
		c.Describe(described)
		names[metricName.FindString((<-described).String())] = true
	}
	documented := make(map[string]bool)
	for _, page := range []string{"OPERATIONS.md", "ADMIN.md"} {
		text, err := os.ReadFile(filepath.Join("..", "..", "docs", page))
		is.NoErr(err)
		found := metricName.FindAllString(string(text), -1)
		is.True(len(found) > 0)
		for _, name := range found {
			documented[name] = true
			if !names[name] {
				t.Errorf("%s names %s, which no entry exports", page, name)
			}
		}
	}
	for name := range names {
		if strings.HasPrefix(name, "azuretrestle_") && !documented[name] {
			t.Errorf("neither OPERATIONS.md nor ADMIN.md documents %s", name)
		}
	}
}
