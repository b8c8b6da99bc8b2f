package sizer

import (
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// Unit is the unit of a row's value.
type Unit string

// The units that have a bound.
const (
	Processor Unit = "% of a core"
	Memory    Unit = "KB"
	Traffic   Unit = "B/s"
)

// bound returns the bound of the sum of all rows of a unit.
func (u Unit) bound() float64 {
	switch u {
	case Processor:
		return BoundProcessor
	case Memory:
		return BoundMemory / 1024
	default:
		return BoundTraffic
	}
}

// Row is the cost of one part of a node at the target size.
type Row struct {
	Name  string
	Unit  Unit
	Value float64
}

// Over reports whether the row alone exceeds the bound of the node.
func (r Row) Over() bool { return r.Value > r.Unit.bound() }

// model collects rows and the first missing measurement.
type model struct {
	Target
	samples Samples
	rows    []Row
	err     error
}

// at returns the value of a quantity at a size, from the line fitted through its samples.
func (m *model) at(quantity string, size float64) float64 {
	l, err := m.samples.Line(quantity)
	if err != nil && m.err == nil {
		m.err = err
	}
	return l.At(size)
}

// largest returns the largest measured value of a quantity that levels off as the size grows.
func (m *model) largest(quantity string) float64 {
	_ = m.at(quantity, 0) // reports a missing measurement
	out := 0.0
	for _, p := range m.samples[quantity] {
		out = max(out, p.Value)
	}
	return out
}

// perUnit returns the growth of a quantity per unit of size.
func (m *model) perUnit(quantity string) float64 { return m.at(quantity, 1) - m.at(quantity, 0) }

func (m *model) addRow(name string, u Unit, value float64) {
	m.rows = append(m.rows, Row{name, u, value})
}

// Rows returns the control-plane cost of one entry, with the total of each unit at the end.
// It fails if a slope was not measured.
func Rows(t Target, s Samples) ([]Row, error) {
	if len(s["call-processor-us"]) == 0 {
		return nil, errors.New("call-processor-us was not measured")
	}
	m := &model{Target: t, samples: s}
	m.addProcessorRows()
	m.addMemoryRows()
	m.addTrafficRows()
	if m.err != nil {
		return nil, m.err
	}
	return append(m.rows, totals(m.rows)...), nil
}

// percent converts microseconds of processor time per second into percent of a core.
func percent(us float64) float64 { return us / 1e6 * 100 }

func (m *model) addProcessorRows() {
	entries := float64(m.RequiredEntries(m.samples))
	messages := exchangesPerSecond * messagesPerExchange
	m.addRow("Membership steps", Processor, percent(m.at("control-second-quiet-us", entries)))
	m.addRow("Membership messages", Processor, percent(messages*m.perUnit("peer-message-us")))
	m.addRow("Membership connections", Processor, percent(2*m.newConnectionsPerSecond(m.samples)*m.perUnit("peer-handshake-us")))
	patch := m.at("patch-step-us", float64(m.Servers))
	checkpoint := m.at("checkpoint-decode-us", float64(m.Servers))
	m.addRow("Configuration", Processor, percent((float64(m.PatchesPerDay)*patch+checkpointsPerDay*checkpoint)/secondsPerDay))
	m.addRow("Log reads", Processor, percent(m.idleProcessorTime()))
	m.addRow("Host list", Processor, percent(m.hostListReadsPerSecond()*(m.at("host-list-us", float64(m.Servers))+m.at("hosts-step-us", float64(m.Servers)))))
	m.addRow("Measuring", Processor, percent(float64(m.ProbesPerSecond)*m.perUnit("probing-processor-us-a-second")))
}

// idleProcessorTime returns the processor time of an entry that sends no probes, in
// microseconds per second.
func (m *model) idleProcessorTime() float64 {
	for _, p := range m.samples["probing-processor-us-a-second"] {
		if p.Size == 0 {
			return p.Value
		}
	}
	m.err = errors.New("no idle entry was measured")
	return 0
}

func (m *model) addMemoryRows() {
	const kb = 1024
	entries := float64(m.RequiredEntries(m.samples))
	m.addRow("Services and configuration", Memory, m.at("node-bytes", float64(m.Servers))/kb)
	m.addRow("Membership", Memory, m.at("view-bytes", entries)/kb)
	m.addRow("Peer connections", Memory, m.peerConnections(m.samples)*m.perUnit("peer-connection-bytes")/2/kb)
	m.addRow("Audit after an hour without the log", Memory, m.at("audit-buffer-bytes", 4096)/kb)
}

// addTrafficRows counts bytes between entries once, at the sender. On average each entry
// sends half of an exchange and receives the other half. Exchanges with the platform
// and with upstreams were measured in both directions and are counted in full, which
// is an upper bound.
func (m *model) addTrafficRows() {
	messageOverhead := segmentOverhead + recordOverhead + frameOverhead
	exchange := m.largest("exchange-bytes")
	m.addRow("Membership messages", Traffic, exchangesPerSecond/2*(exchange+messagesPerExchange*float64(messageOverhead)+segmentOverhead))
	handshake := m.perUnit("peer-handshake-bytes") + (connectionSegments+exchangeSegments)*segmentOverhead
	m.addRow("Membership connections", Traffic, m.newConnectionsPerSecond(m.samples)*handshake)
	request := requestSegments * segmentOverhead
	m.addRow("Log reads", Traffic, tailReadsPerSecond*(m.at("tail-read-bytes", 1)+request))
	patch := m.at("patch-record-bytes", float64(m.Servers))
	checkpoint := m.at("checkpoint-bytes", float64(m.Servers))
	m.addRow("Configuration", Traffic, (float64(m.PatchesPerDay)*patch*patchCopies+checkpointsPerDay*checkpoint*base64Growth)/secondsPerDay)
	m.addRow("Host list", Traffic, m.hostListReadsPerSecond()*(m.at("host-list-bytes", float64(m.Servers))*segmentationFactor+request))
	m.addRow("Measuring", Traffic, float64(m.ProbesPerSecond)*(m.perUnit("probing-bytes-a-second")+request))
}

// KeyLimit returns the rate of new once-only keys, per second, at which the key table that
// an entry has as owner or as witness is full.
func KeyLimit() float64 { return maxKeys / (keyRetentionMinutes * 60) }

// DataPath returns the data-path cost of once-only calls at an entry: requests in
// progress and their results. The bounds of the control plane don't apply to it.
func DataPath(t Target, s Samples) ([]Row, error) {
	const kb = 1024
	m := &model{Target: t, samples: s}
	keys := min(m.keysPerSecond(s)*keyRetentionMinutes*60, maxKeys)
	bodies := min(keys*float64(m.OnceOnlyBody), maxStoredBodies)
	m.addRow("Once-only witness", Memory, (m.at("witness-bytes", keys)+bodies)/kb)
	m.addRow("Once-only owner", Memory, (m.at("owner-bytes", keys)+bodies)/kb)
	messageOverhead := segmentOverhead + recordOverhead + frameOverhead
	key := m.at("once-only-bytes", float64(m.OnceOnlyBody)) + messagesPerExchange*float64(messageOverhead) + segmentOverhead
	m.addRow("Once-only", Traffic, m.keysPerSecond(s)*key)
	return m.rows, m.err
}

func totals(rows []Row) []Row {
	var out []Row
	for _, u := range []Unit{Processor, Memory, Traffic} {
		sum := Row{Name: "Total", Unit: u}
		for _, r := range rows {
			if r.Unit == u {
				sum.Value += r.Value
			}
		}
		out = append(out, sum)
	}
	return out
}

// Table returns the rows as aligned text.
func Table(rows []Row) string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	for _, r := range rows {
		verdict := ""
		if r.Over() {
			verdict = "over the bound"
		}
		_, _ = fmt.Fprintf(w, "%s\t%.2f\t%s\tof %.1f\t%s\n", r.Name, r.Value, r.Unit, r.Unit.bound(), verdict)
	}
	_ = w.Flush()
	return b.String()
}
