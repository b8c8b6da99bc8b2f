package reducer

import (
	"time"

	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

const (
	probeTimeout = time.Second
	// probeQuietPeriod is the time without probes after a start or a pause of the
	// process. It equals the window of the measuring budget, so that probes sent
	// before and after it never fall into the same window.
	probeQuietPeriod = time.Second
	// budgetChangeQuietPeriod is the time without probes after a change of the
	// measuring budget. All entries have received the change by then.
	budgetChangeQuietPeriod = 7 * time.Second
	// probePauseThreshold is the delay of a timer above which the process is
	// assumed to have been paused.
	probePauseThreshold = 100 * time.Millisecond
	// probeIntervalMargin keeps a window of 1 s from containing one probe more than allowed.
	probeIntervalMargin = time.Millisecond
)

// probesPerSecond returns the probe rate of one entry. It is a whole number, so
// that the sum over MaxEntries stays within the budget in every window of 1 s,
// however the windows of the entries are aligned.
func probesPerSecond(c *patcher.Service) int {
	if c.MaxEntries < 1 {
		return 0
	}
	return int(c.MeasuringBudget / float64(c.MaxEntries))
}

// rescheduleProbes starts, reschedules or stops the probes of a service for a new configuration.
func (s *service) rescheduleProbes(c *patcher.Service) {
	n := s.node
	known := s.config.Name != "" && !s.removed
	if known && s.config.MeasuringBudget == c.MeasuringBudget && s.config.MaxEntries == c.MaxEntries {
		return
	}
	quiet := probeQuietPeriod
	if known {
		quiet = budgetChangeQuietPeriod
	}
	n.timers.stop(s.probeTimer)
	s.probeTimer = nil
	if probesPerSecond(c) > 0 {
		s.scheduleProbe(n.now.Add(quiet))
	}
}

func (s *service) scheduleProbe(deadline time.Time) {
	s.probeTimer = s.node.runAt(deadline, func() { s.probeDue(deadline) })
}

func (s *service) probeDue(deadline time.Time) {
	n := s.node
	s.probeTimer = nil
	if s.removed {
		return
	}
	if n.now.Sub(deadline) > probePauseThreshold {
		s.scheduleProbe(n.now.Add(probeQuietPeriod))
		return
	}
	s.scheduleProbe(n.now.Add(time.Second/time.Duration(probesPerSecond(&s.config)) + probeIntervalMargin))
	if n.view.Before() >= s.config.MaxEntries {
		return
	}
	if p, ok := s.pool.NextProbe(n.now); ok {
		n.emit(Probe{Service: s.config.Name, Upstream: p.Name, Address: p.Address, Deadline: n.now.Add(probeTimeout)})
	}
}

func (n *Node) probeAnswered(ev ProbeAnswered) {
	s, ok := n.services[ev.Service]
	if !ok {
		return
	}
	s.pool.ProbeAnswered(n.now, ev.Upstream, ev.OK, ev.Draining, ev.Report)
	if ev.Request != 0 {
		n.preflightAnswered(s, ev)
	}
	n.auditUpstreams(s)
	n.dispatchWaiting(s)
}
