package administrator

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/azuretrestle/azuretrestle/internal/reducer"
)

// metrics are those of the administration itself; WithCollectors adds others.
type metrics struct {
	registry *prometheus.Registry
	handler  http.Handler
	patches  *prometheus.CounterVec
	refused  prometheus.Counter
}

func newMetrics(n Node) *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		patches: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "azuretrestle_patches_total", Help: "Patches submitted at this entry, by result code.",
		}, []string{"code"}),
		refused: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "azuretrestle_administration_refused_total", Help: "Administration calls without a valid token.",
		}),
	}
	version := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "azuretrestle_config_version", Help: "Configuration version in force at this entry.",
	}, func() float64 {
		var v uint64
		n.View(func(n *reducer.Node) { v = n.Config().Version })
		return float64(v)
	})
	m.registry.MustRegister(m.patches, m.refused, version)
	m.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	m.handler = promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
	return m
}
