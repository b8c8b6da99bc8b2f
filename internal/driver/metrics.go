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
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	inFlight prometheus.Gauge
	attempts *prometheus.CounterVec
	// notRun counts the attempts that count as not run, by the evidence for that.
	notRun       *prometheus.CounterVec
	probes       *prometheus.CounterVec
	probeSeconds *prometheus.CounterVec
	stateChanges *prometheus.CounterVec
	panics       prometheus.Counter
	storeReads   *prometheus.CounterVec
	// leavingResponses counts responses of upstreams that announced that they leave.
	leavingResponses prometheus.Counter
}

// The latency target for one hop is 0.42 ms. 15 doublings of 0.25 ms reach 8 s,
// which is beyond the timeout of urgent ranks.
var latencyBuckets = prometheus.ExponentialBuckets(0.00025, 2, 16)

func newMetrics(d *Driver) *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		requests: newCounterVec("requests_total", "Requests by service, rank and result code.", "service", "rank", "code"),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "request_seconds",
			Help: "Time from the headers of a request to the end of its answer.", Buckets: latencyBuckets,
		}, []string{"service", "rank"}),
		inFlight: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: namespace, Name: "requests_in_flight", Help: "Requests in progress.",
		}),
		attempts:     newCounterVec("attempts_total", "Attempts by service, upstream and result.", "service", "upstream", "result"),
		notRun:       newCounterVec("attempts_not_run_total", "Attempts that count as not run, by the evidence for that.", "evidence"),
		probes:       newCounterVec("probes_total", "Probes of upstreams by service and success.", "service", "ok"),
		probeSeconds: newCounterVec("probe_seconds_total", "Time spent waiting for probes.", "service"),
		storeReads:   newCounterVec("store_reads_total", "Reads of the platform's store by topic and success.", "topic", "ok"),
		stateChanges: newCounterVec("state_changes_total", "Entries of the audit trail made by this entry, by action.", "action"),
		leavingResponses: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "leaving_responses_total", Help: "Responses in which an upstream announced that it leaves.",
		}),
		panics: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "panics_total", Help: "Panics recovered.",
		}),
	}
	for _, evidence := range []string{evidenceStated, evidenceStatedUnnamed, evidenceNotConnected, evidenceNotWritten} {
		// A series that exists from the start shows that nothing was counted yet.
		m.notRun.WithLabelValues(evidence)
	}
	m.registry.MustRegister(
		m.requests, m.latency, m.inFlight, m.storeReads, m.leavingResponses, m.attempts, m.notRun, m.probes, m.probeSeconds, m.stateChanges, m.panics,
		nodeCollector{d}, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		newGaugeFunc("config_version", "Configuration version in force.", func() float64 { return float64(d.version()) }),
		newGaugeFunc("held_body_bytes", "Bytes of bodies held in memory.", func() float64 { return float64(d.bodyMemory.total.used.Load()) }),
		newRejectedBodiesCounter("small", d.bodyMemory.rejectedSmall),
		newRejectedBodiesCounter("large", d.bodyMemory.rejectedLarge),
		newGaugeFunc("caller_connections", "Open connections of callers to a managed entry.", func() float64 { return float64(d.callerConnections()) }),
		newGaugeFunc("upstream_connections", "Open connections to upstreams of a managed entry.", func() float64 { return float64(d.upstreamConnections()) }),
		newGaugeFunc("open_peers", "Entries that messages were sent to lately.", func() float64 { return float64(d.peers.Stats().Peers) }),
		newPeerCounter(d, "sent", func(s messenger.Stats) uint64 { return s.Sent }),
		newPeerCounter(d, "received", func(s messenger.Stats) uint64 { return s.Received }),
		newPeerCounter(d, "dropped", func(s messenger.Stats) uint64 { return s.Dropped }),
		newPeerCounter(d, "misdirected", func(s messenger.Stats) uint64 { return s.Misdirected }),
	)
	return m
}

func newCounterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func newGaugeFunc(name, help string, f func() float64) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, f)
}

func newRejectedBodiesCounter(size string, f func() uint64) prometheus.Collector {
	return newLabelledCounter("bodies_rejected_total", "Bodies that the memory for bodies had no room for.", "size", size, f)
}

func newPeerCounter(d *Driver, fate string, f func(messenger.Stats) uint64) prometheus.Collector {
	return newLabelledCounter("peer_messages_total", "Peer messages by fate.", "fate", fate, func() uint64 { return f(d.peers.Stats()) })
}

// newLabelledCounter returns a counter with one label whose value a function returns.
func newLabelledCounter(name, help, label, value string, f func() uint64) prometheus.Collector {
	return prometheus.NewCounterFunc(prometheus.CounterOpts{
		Namespace: namespace, Name: name, Help: help, ConstLabels: prometheus.Labels{label: value},
	}, func() float64 { return float64(f()) })
}

// observeRequest records the result and the duration of a request. The service and rank are empty if
// they are not configured, so that callers cannot create series.
func (m *metrics) observeRequest(service, rank string, code classifier.Code, start time.Time) {
	m.requests.WithLabelValues(service, rank, code.String()).Inc()
	m.latency.WithLabelValues(service, rank).Observe(time.Since(start).Seconds())
}

var resultLabels = map[balancer.Failure]string{
	balancer.FailureNone:      "Answered",
	balancer.FailureDial:      "Dial",
	balancer.FailureLost:      "Lost",
	balancer.FailureTimeout:   "Timeout",
	balancer.FailureCancelled: "Cancelled",
	balancer.FailureTruncated: "Truncated",
}

func (m *metrics) observeAttempt(service, upstream string, f balancer.Failure) {
	m.attempts.WithLabelValues(service, upstream, resultLabels[f]).Inc()
}

// observeNotRun counts an attempt that counts as not run.
func (m *metrics) observeNotRun(t *attemptTrace) {
	if evidence := t.notRunEvidence(); evidence != "" {
		m.notRun.WithLabelValues(evidence).Inc()
	}
}

// deleteUpstream deletes the series of an upstream, since those of replaced hosts
// would otherwise accumulate.
func (m *metrics) deleteUpstream(service, upstream string) {
	m.attempts.DeletePartialMatch(prometheus.Labels{"service": service, "upstream": upstream})
}

func (m *metrics) observeProbe(service string, ok bool, start time.Time) {
	m.probes.WithLabelValues(service, strconv.FormatBool(ok)).Inc()
	m.probeSeconds.WithLabelValues(service).Add(time.Since(start).Seconds())
}

func (d *Driver) version() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.node.Config().Version
}

// Register adds collectors of the process to the registry of the driver.
func (d *Driver) Register(cs ...prometheus.Collector) { d.metrics.registry.MustRegister(cs...) }

// Gatherer returns the gatherer for the metrics of the driver and its node.
func (d *Driver) Gatherer() prometheus.Gatherer { return d.metrics.registry }

// HealthHandler returns the handler of /healthz and /readyz, for the administration listener.
func (d *Driver) HealthHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		writeHealth(w, d.ctx.Err() == nil, "driver has ended")
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		ready := d.ctx.Err() == nil && !d.stopping.Load() && d.configCurrent()
		writeHealth(w, ready, "stopping, without a configuration, or without evidence that it is current")
	})
	return mux
}

func (d *Driver) configCurrent() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.node.Evidence()
	return e.Version > 0 && time.Now().Before(e.ExpiresAt)
}

func writeHealth(w http.ResponseWriter, ok bool, problem string) {
	if !ok {
		http.Error(w, problem, http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}
