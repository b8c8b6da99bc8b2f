package caller

import (
	"context"
	"net/http"
	"net/netip"
)

// Headers of requests to entries and of their replies.
const (
	headerDeadline = "Azuretrestle-Deadline"
	headerAttempt  = "Azuretrestle-Attempt"
	headerOutcome  = "Azuretrestle-Outcome"
	headerCode     = "Azuretrestle-Code"
	headerKey      = "Idempotency-Key"
)

// Defaults of the options.
const (
	defaultAttempts   = 3
	defaultRetryShare = 0.1
	defaultRetryBurst = 10
	defaultMaxAnswer  = 64 << 20
)

// Client sends requests to entries; it is safe for concurrent use.
type Client struct {
	seeds      []netip.AddrPort
	dataCentre string
	fixedList  bool
	attempts   int
	maxAnswer  int64
	http       *http.Client
	directory  directory
	keys       keyStore
	budget     retryBudget
}

// Option configures a client before its first use.
type Option func(*Client)

// WithDataCentre sets the data centre of the caller, so that entries near it are listed.
func WithDataCentre(name string) Option { return func(c *Client) { c.dataCentre = name } }

// WithAttempts sets the largest number of attempts of a request.
func WithAttempts(n int) Option { return func(c *Client) { c.attempts = max(n, 1) } }

// WithRetryBudget limits retries to a share of the requests, with a token bucket that holds burst retries.
func WithRetryBudget(share float64, burst int) Option {
	return func(c *Client) { c.budget = newRetryBudget(share, burst) }
}

// WithMaxAnswer bounds the size of a response body in bytes.
func WithMaxAnswer(n int64) Option { return func(c *Client) { c.maxAnswer = n } }

// WithFixedEntries sends requests to the seeds and does not fetch the list of entries. It is for
// tools that address single entries: a stopping entry is then detected only by its refusals.
func WithFixedEntries() Option { return func(c *Client) { c.fixedList = true } }

// WithTransport replaces the HTTP transport. The default transport retains no idle connection
// to an entry that is stopping or is no longer listed.
func WithTransport(t http.RoundTripper) Option { return func(c *Client) { c.http.Transport = t } }

// New returns a client that first fetches the list of entries from the given seeds.
func New(seeds []netip.AddrPort, opts ...Option) *Client {
	c := &Client{
		seeds:     seeds,
		attempts:  defaultAttempts,
		maxAnswer: defaultMaxAnswer,
		budget:    newRetryBudget(defaultRetryShare, defaultRetryBurst),
		http: &http.Client{
			Transport:     &transportPool{},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Close closes the idle connections of the client.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Entries returns the entries that requests are sent to; it fails with a Failure if no entry returns a list.
func (c *Client) Entries(ctx context.Context) ([]Entry, error) { return c.current(ctx) }
