package reducer

import (
	"time"

	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

const (
	probePatience = time.Second
	// quietTime is the time without probes after a start or a pause. It equals the
	// window of the measuring budget, so that probes before it do not count together
	// with those after it.
	quietTime = time.Second
	// changeTime is the time without probes after a change of the budget; all
	// entries have the change by then.
	changeTime = 7 * time.Second
	// pauseLateness is the lateness of a timer from which the process counts as paused.
	pauseLateness = 100 * time.Millisecond
	// probeMargin keeps a window of 1 s from holding one probe more than its share.
	probeMargin = time.Millisecond
)

// probeShare is the number of probes a second of one entry. It is a whole
// number, so that the sum over MaxEntries stays within the budget in every
// window of 1 s, however the windows of the entries lie.
func probeShare(c *patcher.Service) int {
	if c.MaxEntries < 1 {
		return 0
	}
	return int(c.MeasuringBudget / float64(c.MaxEntries))
}

// planProbes starts, moves or stops the probes of a service for a new configuration.
func (s *service) planProbes(c *patcher.Service) {
	n := s.node
	known := s.config.Name != "" && !s.removed
	if known && s.config.MeasuringBudget == c.MeasuringBudget && s.config.MaxEntries == c.MaxEntries {
		return
	}
	quiet := quietTime
	if known {
		quiet = changeTime
	}
	n.timers.stop(s.probe)
	s.probe = nil
	if probeShare(c) > 0 {
		s.probeAt(n.now.Add(quiet))
	}
}

func (s *service) probeAt(deadline time.Time) {
	s.probe = s.node.after(deadline, func() { s.probeDue(deadline) })
}

func (s *service) probeDue(deadline time.Time) {
	n := s.node
	s.probe = nil
	if s.removed {
		return
	}
	if n.now.Sub(deadline) > pauseLateness {
		s.probeAt(n.now.Add(quietTime))
		return
	}
	s.probeAt(n.now.Add(time.Second/time.Duration(probeShare(&s.config)) + probeMargin))
	if n.view.Before() >= s.config.MaxEntries {
		return
	}
	if p, ok := s.pool.NextProbe(n.now); ok {
		n.emit(Probe{Service: s.config.Name, Upstream: p.Name, Address: p.Address, Deadline: n.now.Add(probePatience)})
	}
}

func (n *Node) probeAnswered(ev ProbeAnswered) {
	s, ok := n.services[ev.Service]
	if !ok {
		return
	}
	s.pool.Probed(n.now, ev.Upstream, ev.OK, ev.Draining, ev.Report)
	if ev.Request != 0 {
		n.screenAnswered(s, ev)
	}
	n.auditUpstreams(s)
	n.pump(s)
}
