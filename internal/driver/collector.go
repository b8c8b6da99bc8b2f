package driver

import (
	"math"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/azuretrestle/azuretrestle/internal/balancer"
	"github.com/azuretrestle/azuretrestle/internal/reducer"
)

// nodeCollector is a Prometheus collector that reads the node's state at each
// scrape, so that no series outlives the upstream or entry that it describes.
type nodeCollector struct{ driver *Driver }

func newDesc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc(prometheus.BuildFQName(namespace, "", name), help, labels, nil)
}

var (
	descUpstreams     = newDesc("upstreams", "Upstreams by service and state, as this entry sees them.", "service", "state")
	descUpstream      = newDesc("upstream_state", "State of an upstream as this entry sees it; always 1.", "service", "upstream", "state")
	descInFlight      = newDesc("upstream_in_flight", "Open requests of this entry at an upstream.", "service", "upstream")
	descLatency       = newDesc("upstream_latency_seconds", "Smoothed latency of an upstream over all ranks.", "service", "upstream")
	descRateLimit     = newDesc("upstream_rate_limit", "Requests per second that an upstream takes from all entries; infinite if it names no rate.", "service", "upstream")
	descMember        = newDesc("member_state", "State of an entry as this entry sees it, Suspected if it is silent; always 1.", "entry", "state")
	descNewestVersion = newDesc("config_newest_version", "Highest configuration version that the entry has heard of.")
	descLogAge        = newDesc("evidence_log_age_seconds", "Age of the newest evidence from the log; missing if there is none.")
	descPeersAge      = newDesc("evidence_peers_age_seconds", "Age of the newest evidence from a majority of entries; missing if there is none.")
	descEvidenceLeft  = newDesc("evidence_left_seconds", "Time until the entry stops taking new work unless it confirms its version again; negative afterwards, missing without evidence.")
	descLogReachable  = newDesc("log_reachable", "1 if the last read of the platform log succeeded, 0 otherwise.")
	descAuditBuffer   = newDesc("audit_backlog", "Audit records that wait for the platform log.")
	descAuditLost     = newDesc("audit_lost_total", "Audit records that did not fit the buffer.")
)

// upstreamStates lists the states that are exported even if no upstream is in them.
var upstreamStates = []balancer.State{balancer.Serving, balancer.Returning, balancer.Failing, balancer.Ejected, balancer.Leaving}

// Describe sends the descriptions of all metrics.
func (c nodeCollector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{
		descUpstreams, descUpstream, descInFlight, descLatency, descRateLimit, descMember, descNewestVersion,
		descLogAge, descPeersAge, descEvidenceLeft, descLogReachable, descAuditBuffer, descAuditLost,
	} {
		ch <- d
	}
}

// serviceSample is the state of one service at a scrape.
type serviceSample struct {
	name      string
	upstreams []balancer.Status
}

// sample is the state of a node at a scrape.
type sample struct {
	services []serviceSample
	members  []reducer.Member
	evidence reducer.Evidence
	buffered int
	lost     uint64
}

// sample copies the state of the node. It releases the driver's lock between
// services, so that a scrape of many upstreams does not delay requests for long.
func (c nodeCollector) sample() sample {
	var s sample
	c.driver.View(func(n *reducer.Node) {
		for _, svc := range n.Config().Services {
			s.services = append(s.services, serviceSample{name: svc.Name})
		}
		s.members = n.Members()
		s.evidence = n.Evidence()
		s.buffered, s.lost = n.AuditBacklog()
	})
	for i := range s.services {
		svc := &s.services[i]
		c.driver.View(func(n *reducer.Node) { svc.upstreams = n.Upstreams(svc.name) })
	}
	return s
}

// Collect sends the state of the node.
func (c nodeCollector) Collect(ch chan<- prometheus.Metric) {
	s := c.sample()
	for _, svc := range s.services {
		sendService(ch, svc)
	}
	for _, m := range s.members {
		state := m.State.String()
		if m.Suspected {
			state = "Suspected"
		}
		sendGauge(ch, descMember, 1, m.Name, state)
	}
	sendEvidence(ch, s.evidence, time.Now())
	sendGauge(ch, descAuditBuffer, float64(s.buffered))
	ch <- prometheus.MustNewConstMetric(descAuditLost, prometheus.CounterValue, float64(s.lost))
}

func sendGauge(ch chan<- prometheus.Metric, d *prometheus.Desc, value float64, labels ...string) {
	ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, labels...)
}

func sendService(ch chan<- prometheus.Metric, s serviceSample) {
	states := make(map[balancer.State]int)
	for _, u := range s.upstreams {
		states[u.State]++
		sendGauge(ch, descUpstream, 1, s.name, u.Name, string(u.State))
		sendGauge(ch, descInFlight, float64(u.InFlight), s.name, u.Name)
		sendGauge(ch, descLatency, u.Latency.Seconds(), s.name, u.Name)
		rate := math.Inf(1)
		if u.Rate != nil {
			rate = float64(*u.Rate)
		}
		sendGauge(ch, descRateLimit, rate, s.name, u.Name)
	}
	for _, state := range upstreamStates {
		sendGauge(ch, descUpstreams, float64(states[state]), s.name, string(state))
	}
}

func sendEvidence(ch chan<- prometheus.Metric, e reducer.Evidence, now time.Time) {
	sendGauge(ch, descNewestVersion, float64(e.Newest))
	if !e.LogAt.IsZero() {
		sendGauge(ch, descLogAge, now.Sub(e.LogAt).Seconds())
	}
	if !e.PeersAt.IsZero() {
		sendGauge(ch, descPeersAge, now.Sub(e.PeersAt).Seconds())
	}
	if !e.LogAt.IsZero() || !e.PeersAt.IsZero() {
		sendGauge(ch, descEvidenceLeft, e.ExpiresAt.Sub(now).Seconds())
	}
	reachable := 0.0
	if e.LogReachable {
		reachable = 1
	}
	sendGauge(ch, descLogReachable, reachable)
}
