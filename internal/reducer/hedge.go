package reducer

import (
	"time"

	"github.com/azuretrestle/azuretrestle/internal/balancer"
)

const (
	// hedgeRatio is the maximum ratio of hedged attempts to requests.
	hedgeRatio = 0.05
	// retryRatio is the maximum ratio of retries to requests.
	retryRatio = 0.1
	// overloadFactor lowers both ratios while requests wait for a slot.
	overloadFactor = 0.1
	// maxTokens is the capacity of the hedge and retry budgets, which limits bursts of
	// extra attempts after a quiet period.
	maxTokens = 20
	// minHedgeDelay is the minimum delay of a hedge. It keeps the hedge timers of very
	// fast ranks from firing constantly.
	minHedgeDelay = time.Millisecond
)

// tokenBucket limits extra attempts to a ratio of the requests.
type tokenBucket struct{ tokens, capacity float64 }

func (b *tokenBucket) add(share float64) { b.tokens = min(b.tokens+share, b.capacity) }

func (b *tokenBucket) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// creditBudgets adds the tokens of a new request to the hedge and retry budgets.
func (s *service) creditBudgets() {
	if m := s.node.Managed; m != nil {
		s.retryBudget.add(m.RepeatRatio * managedBudgetFactor)
		return
	}
	f := 1.0
	if s.queue.Waiting() > 0 {
		f = overloadFactor
	}
	s.hedgeBudget.add(hedgeRatio * f)
	s.retryBudget.add(retryRatio * f)
}

// scheduleHedge sets the hedge timer to the tail latency of the rank, after which
// the attempt is slower than nearly all others of its rank.
func (n *Node) scheduleHedge(r *request) {
	n.timers.stop(r.hedgeTimer)
	r.hedgeTimer = nil
	if !r.idempotent() || !r.replayable {
		return
	}
	tail := r.service.pool.TailLatency(r.rank.Name)
	if tail <= 0 {
		return
	}
	r.hedgeTimer = n.runAt(n.now.Add(max(tail, minHedgeDelay)), func() { n.hedge(r) })
}

// hedge starts a second attempt on another upstream that has spare capacity (Dean
// and Barroso 2013).
func (n *Node) hedge(r *request) {
	r.hedgeTimer = nil
	s := r.service
	if r.relayed || r.pending != nil || r.openAttempts() != 1 || !n.canRetry(r) || s.queue.Waiting() > 0 || s.hedgeBudget.tokens < 1 {
		return
	}
	requirements := n.requirements(r)
	requirements.Spare = true
	choice, ok := s.pool.Pick(n.now, requirements)
	if !ok {
		return
	}
	n.preflight(r, choice)
}

// openAttempts returns the number of attempts that have not ended.
func (r *request) openAttempts() int {
	count := 0
	for _, a := range r.attempts {
		if a.open {
			count++
		}
	}
	return count
}

// cancelOthers cancels all open attempts but the one whose response is used.
func (n *Node) cancelOthers(r *request, winner *attempt) {
	for _, a := range r.attempts {
		if a.open && a != winner {
			n.closeAttempt(r, a, balancer.Feedback{Failure: balancer.FailureCancelled})
			n.emit(Cancel{Attempt: a.id})
		}
	}
}
