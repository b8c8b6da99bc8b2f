package caller

import "sync"

// budget lets retries be a share of the requests, so that they can't multiply an overload.
type budget struct {
	state *budgetState
	share float64
	burst float64
}

type budgetState struct {
	mu   sync.Mutex
	left float64
}

func newBudget(share float64, burst int) budget {
	return budget{state: &budgetState{left: float64(burst)}, share: share, burst: float64(burst)}
}

// earn is called for each request.
func (b budget) earn() {
	b.state.mu.Lock()
	defer b.state.mu.Unlock()
	b.state.left = min(b.state.left+b.share, b.burst)
}

// spend reports whether a retry may be sent.
func (b budget) spend() bool {
	b.state.mu.Lock()
	defer b.state.mu.Unlock()
	if b.state.left < 1 {
		return false
	}
	b.state.left--
	return true
}
