package caller

import (
	"context"
	"net/http"
	"net/netip"
)

// Headers between callers and entries.
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

// Client sends requests to the system; it is safe for concurrent use.
type Client struct {
	seeds      []netip.AddrPort
	dataCentre string
	fixed      bool
	attempts   int
	maxAnswer  int64
	http       *http.Client
	entries    directory
	keys       keyStore
	budget     budget
}

// Option changes a client before its first use.
type Option func(*Client)

// WithDataCentre tells the entries where the caller is, so that they name near ones.
func WithDataCentre(name string) Option { return func(c *Client) { c.dataCentre = name } }

// WithAttempts sets how often a request is sent at most.
func WithAttempts(n int) Option { return func(c *Client) { c.attempts = max(n, 1) } }

// WithRetryBudget limits retries to a share of the requests, with a burst after quiet times.
func WithRetryBudget(share float64, burst int) Option {
	return func(c *Client) { c.budget = newBudget(share, burst) }
}

// WithMaxAnswer bounds the body of an answer in bytes.
func WithMaxAnswer(n int64) Option { return func(c *Client) { c.maxAnswer = n } }

// WithFixedEntries sends to the seeds without asking for entries. It is for
// tools that address single entries: a stopping entry is then noticed only by its refusals.
func WithFixedEntries() Option { return func(c *Client) { c.fixed = true } }

// WithTransport replaces the HTTP transport. The client's own keeps no connection
// to an entry that stops or is no longer named.
func WithTransport(t http.RoundTripper) Option { return func(c *Client) { c.http.Transport = t } }

// New returns a client that asks the given entries first.
func New(seeds []netip.AddrPort, opts ...Option) *Client {
	c := &Client{
		seeds:     seeds,
		attempts:  defaultAttempts,
		maxAnswer: defaultMaxAnswer,
		budget:    newBudget(defaultRetryShare, defaultRetryBurst),
		http: &http.Client{
			Transport:     &transports{},
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

// Entries returns where requests are sent now; it fails with a Failure if no entry tells.
func (c *Client) Entries(ctx context.Context) ([]Entry, error) { return c.current(ctx) }
