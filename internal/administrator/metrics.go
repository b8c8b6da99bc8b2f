package administrator

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// metrics holds the administration's own metrics; WithGatherer adds others.
type metrics struct {
	registry *prometheus.Registry
	handler  http.Handler
	patches  *prometheus.CounterVec
	refused  prometheus.Counter
}

func newMetrics() *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		patches: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "azuretrestle_patches_total", Help: "Patches submitted at this entry, by result code.",
		}, []string{"code"}),
		refused: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "azuretrestle_administration_refused_total", Help: "Administration calls without a valid token.",
		}),
	}
	m.registry.MustRegister(m.patches, m.refused)
	return m
}

// expose makes /metrics serve the administration's own metrics and those of other gatherers.
func (m *metrics) expose(others []prometheus.Gatherer) {
	all := append(prometheus.Gatherers{m.registry}, others...)
	m.handler = promhttp.HandlerFor(all, promhttp.HandlerOpts{})
}
