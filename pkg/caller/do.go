package caller

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"time"

	"github.com/azuretrestle/azuretrestle/pkg/classifier"
)

// Request is a request to a service. The deadline of the context is sent with it.
type Request struct {
	Service string
	Rank    string
	// Method is the HTTP method; the default is GET.
	Method string
	// Path is the path and query that the upstream receives; it starts with a slash.
	Path   string
	Header http.Header
	Body   []byte
	// OnceOnly must be set if the rank is once-only.
	OnceOnly bool
	// Key is the idempotency key of an earlier call for the same once-only work; if it is empty, a new key is used.
	Key string
}

// Answer is the complete response of an upstream.
type Answer struct {
	Status   int
	Header   http.Header
	Body     []byte
	Attempts int
	// Entry is the address of the entry that returned the response.
	Entry netip.AddrPort
	// Key is the idempotency key of once-only work.
	Key string
}

const (
	// meanBackoff is the mean wait before the second retry; the first goes to another entry without a wait.
	meanBackoff = 20 * time.Millisecond
	// backoffFactor is the factor between the waits before successive retries.
	backoffFactor = 2
)

// Do sends a request and retries it where that is safe. It fails with a Failure.
func (c *Client) Do(ctx context.Context, r Request) (*Answer, error) {
	c.budget.refill()
	p := pendingRequest{client: c, request: r, outcome: classifier.OutcomeNotRun, newKey: r.Key == ""}
	if r.OnceOnly && r.Key == "" {
		key, err := c.Key(ctx)
		if err != nil {
			return nil, err
		}
		p.request.Key = key
	}
	return p.run(ctx)
}

// pendingRequest is a request with the state of its attempts.
type pendingRequest struct {
	client  *Client
	request Request
	newKey  bool
	tried   []netip.AddrPort
	// previousKeyAttempts is the number of attempts that used earlier keys.
	previousKeyAttempts int
	// outcome is Unknown once an attempt may have been executed.
	outcome classifier.Outcome
}

func (p *pendingRequest) run(ctx context.Context) (*Answer, error) {
	for {
		a, f := p.attempt(ctx)
		if f == nil {
			return a, nil
		}
		if f.Outcome == classifier.OutcomeDone {
			p.outcome = classifier.OutcomeDone
			return nil, p.fail(f)
		}
		if f.Outcome != classifier.OutcomeNotRun || !p.newKey && p.request.OnceOnly {
			p.outcome = classifier.OutcomeUnknown
		}
		if !p.prepareRetry(ctx, f.Code) {
			return nil, p.fail(f)
		}
		p.renewKey(ctx, f.Code)
	}
}

func (p *pendingRequest) fail(f *Failure) *Failure {
	f.Outcome = p.outcome
	f.Attempts = len(p.tried)
	if p.request.OnceOnly {
		f.Key = p.request.Key
	}
	return f
}

// prepareRetry reports whether another attempt may follow; if so, it has taken a token from the
// retry budget and waited for the backoff.
func (p *pendingRequest) prepareRetry(ctx context.Context, code classifier.Code) bool {
	if len(p.tried) >= p.client.attempts || !isRetryable(code) || ctx.Err() != nil || !p.client.budget.take() {
		return false
	}
	return len(p.tried) < 2 || waitBackoff(ctx, len(p.tried)-2)
}

// renewKey switches to another key if no attempt can have been executed. With
// the old key the next entry would have to ask the witness, which may be lost,
// and a key stays refused once two attempts with it were refused as not run.
func (p *pendingRequest) renewKey(ctx context.Context, code classifier.Code) {
	if !p.request.OnceOnly || !p.newKey || p.outcome != classifier.OutcomeNotRun {
		return
	}
	if code == classifier.WitnessSilent || code == classifier.WitnessLost {
		p.client.keys.discard()
	}
	key, err := p.client.Key(ctx)
	if err != nil {
		return
	}
	p.request.Key = key
	p.previousKeyAttempts = len(p.tried)
}

// waitBackoff sleeps for a jittered exponential backoff; it returns false if the context ended.
func waitBackoff(ctx context.Context, retry int) bool {
	d := meanBackoff
	for range retry {
		d *= backoffFactor
	}
	t := time.NewTimer(d/2 + rand.N(d))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (p *pendingRequest) attempt(ctx context.Context) (*Answer, *Failure) {
	list, err := p.client.current(ctx)
	if err != nil {
		return nil, failure(classifier.EntriesUnavailable, classifier.OutcomeNotRun, err)
	}
	if len(list) == 0 {
		return nil, failure(classifier.EntriesUnavailable, classifier.OutcomeNotRun, nil)
	}
	e := p.client.choose(list, p.tried)
	p.tried = append(p.tried, e.Address)
	a, f := p.client.send(ctx, e.Address, p)
	if f != nil && isEntryFault(f.Code) {
		p.client.avoidEntry(e.Address)
	}
	return a, f
}

// isEntryFault reports whether a code indicates a fault of the entry rather than of the request or an upstream.
func isEntryFault(code classifier.Code) bool {
	switch code {
	case classifier.EntryStopping, classifier.EntryStale, classifier.NotConfigured,
		classifier.EntryUnreachable, classifier.EntryLost, classifier.AnswerMalformed:
		return true
	default:
		return false
	}
}
