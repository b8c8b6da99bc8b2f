package sizer

import (
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// Unit is what a row is measured in.
type Unit string

// The units that have a bound.
const (
	Processor Unit = "% of a core"
	Memory    Unit = "KB"
	Traffic   Unit = "B/s"
)

// bound is the limit of the sum of all rows of a unit.
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

func (m *model) at(quantity string, size float64) float64 {
	l, err := m.samples.Line(quantity)
	if err != nil && m.err == nil {
		m.err = err
	}
	return l.At(size)
}

// most returns the largest measured value of a quantity that reaches a limit.
func (m *model) most(quantity string) float64 {
	_ = m.at(quantity, 0)
	out := 0.0
	for _, p := range m.samples[quantity] {
		out = max(out, p.Value)
	}
	return out
}

// each returns the growth of a quantity by one more unit of its size.
func (m *model) each(quantity string) float64 { return m.at(quantity, 1) - m.at(quantity, 0) }

func (m *model) row(name string, u Unit, value float64) {
	m.rows = append(m.rows, Row{name, u, value})
}

// Rows returns the cost of control at one entry, the sum of each unit last; it
// fails if a slope was not measured.
func Rows(t Target, s Samples) ([]Row, error) {
	if len(s["call-processor-us"]) == 0 {
		return nil, errors.New("call-processor-us was not measured")
	}
	m := &model{Target: t, samples: s}
	m.processor()
	m.memory()
	m.traffic()
	if m.err != nil {
		return nil, m.err
	}
	return append(m.rows, totals(m.rows)...), nil
}

// percent turns microseconds a second into percent of a core.
func percent(us float64) float64 { return us / 1e6 * 100 }

func (m *model) processor() {
	entries := float64(m.Need(m.samples))
	messages := exchangesPerSecond * messagesPerExchange
	m.row("Membership steps", Processor, percent(m.at("control-second-quiet-us", entries)))
	m.row("Membership messages", Processor, percent(messages*m.each("peer-message-us")))
	m.row("Membership connections", Processor, percent(2*m.newConnections(m.samples)*m.each("peer-handshake-us")))
	patch := m.at("patch-step-us", float64(m.Servers))
	checkpoint := m.at("checkpoint-decode-us", float64(m.Servers))
	m.row("Configuration", Processor, percent((float64(m.PatchesPerDay)*patch+checkpointsPerDay*checkpoint)/secondsPerDay))
	m.row("Log reads", Processor, percent(m.idle()))
	m.row("Host list", Processor, percent(m.listReads()*(m.at("host-list-us", float64(m.Servers))+m.at("hosts-step-us", float64(m.Servers)))))
	m.row("Measuring", Processor, percent(float64(m.ProbesPerSecond)*m.each("probing-processor-us-a-second")))
}

// idle is the processor time of an entry without probes.
func (m *model) idle() float64 {
	for _, p := range m.samples["probing-processor-us-a-second"] {
		if p.Size == 0 {
			return p.Value
		}
	}
	m.err = errors.New("no idle entry was measured")
	return 0
}

func (m *model) memory() {
	const kb = 1024
	entries := float64(m.Need(m.samples))
	m.row("Services and configuration", Memory, m.at("node-bytes", float64(m.Servers))/kb)
	m.row("Membership", Memory, m.at("view-bytes", entries)/kb)
	m.row("Peer connections", Memory, m.peerConnections(m.samples)*m.each("peer-connection-bytes")/2/kb)
	m.row("Audit after an hour without the log", Memory, m.at("audit-buffer-bytes", 4096)/kb)
}

// traffic counts what passes between entries once, at its sender: half of it at
// each entry on average, and as much is received. Exchanges with the platform and
// with upstreams were measured as a whole and count so, as an upper value.
func (m *model) traffic() {
	sealed := segmentOverhead + recordOverhead + frameOverhead
	exchange := m.most("exchange-bytes")
	m.row("Membership messages", Traffic, exchangesPerSecond/2*(exchange+messagesPerExchange*float64(sealed)+segmentOverhead))
	handshake := m.each("peer-handshake-bytes") + (connectionSegments+exchangeSegments)*segmentOverhead
	m.row("Membership connections", Traffic, m.newConnections(m.samples)*handshake)
	request := requestSegments * segmentOverhead
	m.row("Log reads", Traffic, tailReadsPerSecond*(m.at("tail-read-bytes", 1)+request))
	patch := m.at("patch-record-bytes", float64(m.Servers))
	checkpoint := m.at("checkpoint-bytes", float64(m.Servers))
	m.row("Configuration", Traffic, (float64(m.PatchesPerDay)*patch*patchCopies+checkpointsPerDay*checkpoint*base64Growth)/secondsPerDay)
	m.row("Host list", Traffic, m.listReads()*(m.at("host-list-bytes", float64(m.Servers))*segmentShare+request))
	m.row("Measuring", Traffic, float64(m.ProbesPerSecond)*(m.each("probing-bytes-a-second")+request))
}

// KeyLimit returns the new once-only keys a second that the tables of an entry
// take in each role.
func KeyLimit() float64 { return maxKeys / (keyMinutes * 60) }

// DataPath returns what once-only calls cost an entry beside control: requests in
// progress and their results. No bound of control applies to it.
func DataPath(t Target, s Samples) ([]Row, error) {
	const kb = 1024
	m := &model{Target: t, samples: s}
	keys := min(m.keysPerSecond(s)*keyMinutes*60, maxKeys)
	bodies := min(keys*float64(m.OnceOnlyBody), maxStoredBodies)
	m.row("Once-only witness", Memory, (m.at("witness-bytes", keys)+bodies)/kb)
	m.row("Once-only owner", Memory, (m.at("owner-bytes", keys)+bodies)/kb)
	sealed := segmentOverhead + recordOverhead + frameOverhead
	key := m.at("once-only-bytes", float64(m.OnceOnlyBody)) + messagesPerExchange*float64(sealed) + segmentOverhead
	m.row("Once-only", Traffic, m.keysPerSecond(s)*key)
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
