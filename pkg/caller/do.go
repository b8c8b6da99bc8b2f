package caller

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"time"

	"github.com/azuretrestle/azuretrestle/pkg/classifier"
)

// Request is one piece of work; the deadline of the context goes along with it.
type Request struct {
	Service string
	Rank    string
	// Method is GET if it is empty.
	Method string
	// Path is what the upstream gets, with its query; it starts with a slash.
	Path   string
	Header http.Header
	Body   []byte
	// OnceOnly is set for a rank of that kind.
	OnceOnly bool
	// Key is that of an earlier try of the same once-only work; without it a fresh key is used.
	Key string
}

// Answer is the whole answer of an upstream.
type Answer struct {
	Status   int
	Header   http.Header
	Body     []byte
	Attempts int
	// Entry is where the answer came from.
	Entry netip.AddrPort
	// Key is the idempotency key of once-only work.
	Key string
}

const (
	// backoff is the mean wait before a second retry; the first goes to another entry at once.
	backoff = 20 * time.Millisecond
	// growth is the factor between the waits before two retries.
	growth = 2
)

// Do sends a request and retries it where that is safe. Its error is a Failure.
func (c *Client) Do(ctx context.Context, r Request) (*Answer, error) {
	c.budget.earn()
	w := work{client: c, request: r, outcome: classifier.OutcomeNotRun, fresh: r.Key == ""}
	if r.OnceOnly && r.Key == "" {
		key, err := c.Key(ctx)
		if err != nil {
			return nil, err
		}
		w.request.Key = key
	}
	return w.run(ctx)
}

// work is a request with what its attempts have shown.
type work struct {
	client  *Client
	request Request
	fresh   bool
	tried   []netip.AddrPort
	// earlier is the number of attempts that were made with other keys.
	earlier int
	// outcome is Unknown once an attempt may have run.
	outcome classifier.Outcome
}

func (w *work) run(ctx context.Context) (*Answer, error) {
	for {
		a, f := w.attempt(ctx)
		if f == nil {
			return a, nil
		}
		if f.Outcome == classifier.OutcomeDone {
			w.outcome = classifier.OutcomeDone
			return nil, w.fail(f)
		}
		if f.Outcome != classifier.OutcomeNotRun || !w.fresh && w.request.OnceOnly {
			w.outcome = classifier.OutcomeUnknown
		}
		if !w.again(ctx, f.Code) {
			return nil, w.fail(f)
		}
		w.renewKey(ctx, f.Code)
	}
}

func (w *work) fail(f *Failure) *Failure {
	f.Outcome = w.outcome
	f.Attempts = len(w.tried)
	if w.request.OnceOnly {
		f.Key = w.request.Key
	}
	return f
}

func (w *work) again(ctx context.Context, code classifier.Code) bool {
	if len(w.tried) >= w.client.attempts || !worthRetry(code) || ctx.Err() != nil || !w.client.budget.spend() {
		return false
	}
	return len(w.tried) < 2 || wait(ctx, len(w.tried)-2)
}

// renewKey takes another key after attempts that certainly did not run. With
// the old key a further entry would have to ask the witness, which may be lost,
// and a key that was refused as not run twice stays refused.
func (w *work) renewKey(ctx context.Context, code classifier.Code) {
	if !w.request.OnceOnly || !w.fresh || w.outcome != classifier.OutcomeNotRun {
		return
	}
	if code == classifier.WitnessSilent || code == classifier.WitnessLost {
		w.client.keys.drop()
	}
	key, err := w.client.Key(ctx)
	if err != nil {
		return
	}
	w.request.Key = key
	w.earlier = len(w.tried)
}

// wait sleeps for a random time that grows; it reports false if the context ended.
func wait(ctx context.Context, retry int) bool {
	d := backoff
	for range retry {
		d *= growth
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

func (w *work) attempt(ctx context.Context) (*Answer, *Failure) {
	list, err := w.client.current(ctx)
	if err != nil {
		return nil, failure(classifier.EntriesUnavailable, classifier.OutcomeNotRun, err)
	}
	if len(list) == 0 {
		return nil, failure(classifier.EntriesUnavailable, classifier.OutcomeNotRun, nil)
	}
	e := w.client.choose(list, w.tried)
	w.tried = append(w.tried, e.Address)
	a, f := w.client.send(ctx, e.Address, w)
	if f != nil && entryFault(f.Code) {
		w.client.avoidEntry(e.Address)
	}
	return a, f
}

// entryFault reports whether a code speaks against the entry and not against the request or an upstream.
func entryFault(code classifier.Code) bool {
	switch code {
	case classifier.EntryStopping, classifier.EntryStale, classifier.NotConfigured,
		classifier.EntryUnreachable, classifier.EntryLost, classifier.AnswerMalformed:
		return true
	default:
		return false
	}
}
