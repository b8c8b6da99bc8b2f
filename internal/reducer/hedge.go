package reducer

import (
	"time"

	"github.com/azuretrestle/azuretrestle/internal/balancer"
)

const (
	// hedgeShare is the largest share of requests that get a second attempt while the first is open.
	hedgeShare = 0.05
	// repeatShare is the largest share of requests that are repeated after a failure.
	repeatShare = 0.1
	// overloadFactor lowers both shares while requests wait for a slot.
	overloadFactor = 0.1
	// maxSaved bounds the attempts that a quiet time saves up.
	maxSaved = 20
	// leastHedgeDelay keeps the timers of very fast ranks from firing all the time.
	leastHedgeDelay = time.Millisecond
)

// allowance bounds extra attempts to a share of the requests.
type allowance struct{ saved, most float64 }

func (a *allowance) earn(share float64) { a.saved = min(a.saved+share, a.most) }

func (a *allowance) spend() bool {
	if a.saved < 1 {
		return false
	}
	a.saved--
	return true
}

// earn counts a new request for the allowances of extra attempts.
func (s *service) earn() {
	if m := s.node.Managed; m != nil {
		s.repeats.earn(m.RepeatRatio * managedShare)
		return
	}
	f := 1.0
	if s.queue.Waiting() > 0 {
		f = overloadFactor
	}
	s.hedges.earn(hedgeShare * f)
	s.repeats.earn(repeatShare * f)
}

// watch looks at a request again once its attempt is slower than nearly all others of its rank.
func (n *Node) watch(r *request) {
	n.timers.stop(r.watch)
	r.watch = nil
	if !r.idempotent() || !r.replayable {
		return
	}
	tail := r.service.pool.Tail(r.rank.Name)
	if tail <= 0 {
		return
	}
	r.watch = n.after(n.now.Add(max(tail, leastHedgeDelay)), func() { n.hedge(r) })
}

// hedge starts a second attempt on another upstream that has room to spare (Dean and Barroso 2013).
func (n *Node) hedge(r *request) {
	r.watch = nil
	s := r.service
	if r.relayed || r.screened != nil || r.open() != 1 || !n.canRepeat(r) || s.queue.Waiting() > 0 || s.hedges.saved < 1 {
		return
	}
	need := n.need(r)
	need.Spare = true
	choice, ok := s.pool.Pick(n.now, need)
	if !ok {
		return
	}
	n.screen(r, choice)
}

// open is the number of attempts without an answer.
func (r *request) open() int {
	count := 0
	for _, a := range r.attempts {
		if a.open {
			count++
		}
	}
	return count
}

// cancelOthers cancels the attempts that lost to the given one.
func (n *Node) cancelOthers(r *request, winner *attempt) {
	for _, a := range r.attempts {
		if a.open && a != winner {
			n.close(r, a, balancer.Feedback{Failure: balancer.FailureCancelled})
			n.emit(Cancel{Attempt: a.id})
		}
	}
}
