package driver

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/azuretrestle/azuretrestle/internal/balancer"
	"github.com/azuretrestle/azuretrestle/internal/messenger"
	"github.com/azuretrestle/azuretrestle/pkg/classifier"
)

const namespace = "azuretrestle"

type metrics struct {
	registry     *prometheus.Registry
	requests     *prometheus.CounterVec
	latency      *prometheus.HistogramVec
	inFlight     prometheus.Gauge
	attempts     *prometheus.CounterVec
	probes       *prometheus.CounterVec
	probeSeconds *prometheus.CounterVec
	changes      *prometheus.CounterVec
	panics       prometheus.Counter
	storeReads   *prometheus.CounterVec
}

// The target for one hop is 0.42 ms; 15 doublings of 0.25 ms reach 8 s, beyond the patience of urgent ranks.
var latencyBuckets = prometheus.ExponentialBuckets(0.00025, 2, 16)

func newMetrics(d *Driver) *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		requests: counters("requests_total", "Requests by service, rank and result code.", "service", "rank", "code"),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "request_seconds",
			Help: "Time from the headers of a request to the end of its answer.", Buckets: latencyBuckets,
		}, []string{"service", "rank"}),
		inFlight: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: namespace, Name: "requests_in_flight", Help: "Requests in progress.",
		}),
		attempts:     counters("attempts_total", "Attempts by service, upstream and result.", "service", "upstream", "result"),
		probes:       counters("probes_total", "Probes of upstreams by service and success.", "service", "ok"),
		probeSeconds: counters("probe_seconds_total", "Time spent waiting for probes.", "service"),
		storeReads:   counters("store_reads_total", "Reads of the platform's store by topic and success.", "topic", "ok"),
		changes:      counters("state_changes_total", "Entries of the audit trail made by this entry, by action.", "action"),
		panics: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "panics_total", Help: "Panics recovered.",
		}),
	}
	m.registry.MustRegister(
		m.requests, m.latency, m.inFlight, m.storeReads, m.attempts, m.probes, m.probeSeconds, m.changes, m.panics,
		nodeCollector{d}, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		gauge("config_version", "Configuration version in force.", func() float64 { return float64(d.version()) }),
		gauge("held_body_bytes", "Bytes of bodies held in memory.", func() float64 { return float64(d.memory.held.Load()) }),
		gauge("caller_connections", "Open connections of callers to a managed entry.", func() float64 { return float64(d.callerConnections()) }),
		gauge("upstream_connections", "Open connections to upstreams of a managed entry.", func() float64 { return float64(d.upstreamConnections()) }),
		gauge("open_peers", "Entries that messages were sent to lately.", func() float64 { return float64(d.peers.Stats().Peers) }),
		peerCounter(d, "sent", func(s messenger.Stats) uint64 { return s.Sent }),
		peerCounter(d, "received", func(s messenger.Stats) uint64 { return s.Received }),
		peerCounter(d, "dropped", func(s messenger.Stats) uint64 { return s.Dropped }),
		peerCounter(d, "misdirected", func(s messenger.Stats) uint64 { return s.Misdirected }),
	)
	return m
}

func counters(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func gauge(name, help string, f func() float64) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, f)
}

func peerCounter(d *Driver, kind string, f func(messenger.Stats) uint64) prometheus.Collector {
	return prometheus.NewCounterFunc(prometheus.CounterOpts{
		Namespace: namespace, Name: "peer_messages_total", Help: "Peer messages by fate.",
		ConstLabels: prometheus.Labels{"fate": kind},
	}, func() float64 { return float64(f(d.peers.Stats())) })
}

// count records the end of a request; service and rank are empty if they are
// not known, so that callers can't create series.
func (m *metrics) count(service, rank string, code classifier.Code, begun time.Time) {
	m.requests.WithLabelValues(service, rank, code.String()).Inc()
	m.latency.WithLabelValues(service, rank).Observe(time.Since(begun).Seconds())
}

var results = map[balancer.Failure]string{
	balancer.FailureNone:      "Answered",
	balancer.FailureDial:      "Dial",
	balancer.FailureLost:      "Lost",
	balancer.FailureTimeout:   "Timeout",
	balancer.FailureCancelled: "Cancelled",
	balancer.FailureTruncated: "Truncated",
}

func (m *metrics) attempt(service, upstream string, f balancer.Failure) {
	m.attempts.WithLabelValues(service, upstream, results[f]).Inc()
}

// forget drops the series of an upstream, since replaced hosts would add up.
func (m *metrics) forget(service, upstream string) {
	m.attempts.DeletePartialMatch(prometheus.Labels{"service": service, "upstream": upstream})
}

func (m *metrics) probe(service string, ok bool, begun time.Time) {
	m.probes.WithLabelValues(service, strconv.FormatBool(ok)).Inc()
	m.probeSeconds.WithLabelValues(service).Add(time.Since(begun).Seconds())
}

func (d *Driver) version() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.node.Config().Version
}

// Register adds metrics of the process to those of the driver.
func (d *Driver) Register(cs ...prometheus.Collector) { d.metrics.registry.MustRegister(cs...) }

// Gatherer returns the metrics of the driver and its node.
func (d *Driver) Gatherer() prometheus.Gatherer { return d.metrics.registry }

// HealthHandler returns /healthz and /readyz, for the administration listener.
func (d *Driver) HealthHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		writeState(w, d.ctx.Err() == nil, "driver has ended")
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		ready := d.ctx.Err() == nil && !d.stopping.Load() && d.fresh()
		writeState(w, ready, "stopping, without a configuration, or without evidence that it is current")
	})
	return mux
}

func (d *Driver) fresh() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.node.Evidence()
	return e.Version > 0 && time.Now().Before(e.ExpiresAt)
}

func writeState(w http.ResponseWriter, ok bool, problem string) {
	if !ok {
		http.Error(w, problem, http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}
