package reducer

import (
	"github.com/azuretrestle/azuretrestle/internal/balancer"
	"github.com/azuretrestle/azuretrestle/pkg/classifier"
)

// watchSilence looks at an attempt again once its connection may be silent.
func (n *Node) watchSilence(r *request, a *attempt) {
	deadline := n.now.Add(r.service.pool.SilenceAfter(a.slot))
	if !deadline.Before(r.deadline) {
		return
	}
	a.silence = n.after(deadline, func() { n.checkSilence(r, a) })
}

func (n *Node) closeIdle(s *service, a *attempt, silent bool) {
	if c, ok := s.pool.CloseIdle(n.now, a.slot, silent); ok {
		n.emit(CloseIdle{Service: s.config.Name, Upstream: c.Name, Address: c.Address})
	}
}

// checkSilence closes idle connections if an attempt is silent, and repeats
// idempotent work on a new connection. Other work may have run, so it waits on.
func (n *Node) checkSilence(r *request, a *attempt) {
	a.silence = nil
	s := r.service
	if !a.open || r.relayed {
		return
	}
	if !s.pool.Silent(n.now, a.slot) {
		n.watchSilence(r, a)
		return
	}
	n.closeIdle(s, a, true)
	other := r.open() > 1
	if !r.idempotent() || !other && (!n.canRepeat(r) || s.repeats.saved < 1) {
		return
	}
	r.fresh = true
	n.close(r, a, balancer.Feedback{Failure: balancer.FailureSilent})
	n.emit(Cancel{Attempt: a.id})
	n.repeat(r, classifier.ConnectionLost, classifier.OutcomeUnknown, true)
	n.pump(s)
}
