package caller

import "sync"

// retryBudget is a token bucket that limits retries to a share of the requests, so that they can't amplify an overload.
type retryBudget struct {
	bucket *tokenBucket
	share  float64
	burst  float64
}

type tokenBucket struct {
	mu     sync.Mutex
	tokens float64
}

func newRetryBudget(share float64, burst int) retryBudget {
	return retryBudget{bucket: &tokenBucket{tokens: float64(burst)}, share: share, burst: float64(burst)}
}

// refill adds the share of one request to the token bucket.
func (b retryBudget) refill() {
	b.bucket.mu.Lock()
	defer b.bucket.mu.Unlock()
	b.bucket.tokens = min(b.bucket.tokens+b.share, b.burst)
}

// take takes a token and reports whether a retry may be sent.
func (b retryBudget) take() bool {
	b.bucket.mu.Lock()
	defer b.bucket.mu.Unlock()
	if b.bucket.tokens < 1 {
		return false
	}
	b.bucket.tokens--
	return true
}
