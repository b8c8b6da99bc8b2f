package reducer

import (
	"github.com/azuretrestle/azuretrestle/internal/balancer"
	"github.com/azuretrestle/azuretrestle/pkg/classifier"
)

// scheduleSilenceCheck schedules a check of whether the connection of an attempt has become silent.
func (n *Node) scheduleSilenceCheck(r *request, a *attempt) {
	deadline := n.now.Add(r.service.pool.SilenceTimeout(a.slot))
	if !deadline.Before(r.deadline) {
		return
	}
	a.silenceTimer = n.runAt(deadline, func() { n.checkSilence(r, a) })
}

func (n *Node) closeIdle(s *service, a *attempt, silent bool) {
	if c, ok := s.pool.CloseIdle(n.now, a.slot, silent); ok {
		n.emit(CloseIdle{Service: s.config.Name, Upstream: c.Name, Address: c.Address})
	}
}

// checkSilence closes idle connections if an attempt is silent, and retries
// idempotent requests on a new connection. Other requests may have run, so they
// keep waiting.
func (n *Node) checkSilence(r *request, a *attempt) {
	a.silenceTimer = nil
	s := r.service
	if !a.open || r.relayed {
		return
	}
	if !s.pool.Silent(n.now, a.slot) {
		n.scheduleSilenceCheck(r, a)
		return
	}
	n.closeIdle(s, a, true)
	otherOpen := r.openAttempts() > 1
	if !r.idempotent() || !otherOpen && (!n.canRetry(r) || s.retryBudget.tokens < 1) {
		return
	}
	r.freshConnection = true
	n.closeAttempt(r, a, balancer.Feedback{Failure: balancer.FailureSilent})
	n.emit(Cancel{Attempt: a.id})
	n.retryOrRefuse(r, classifier.ConnectionLost, classifier.OutcomeUnknown, true)
	n.dispatchWaiting(s)
}
