package caller

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/azuretrestle/azuretrestle/pkg/classifier"
)

// opaqueBody hides the type of the body from net/http, which would otherwise
// retry a request by itself: once-only work with the header of a first
// attempt, and other work outside the retry budget.
type opaqueBody struct{ io.Reader }

func (opaqueBody) Close() error { return nil }

func (p *pendingRequest) newHTTPRequest(ctx context.Context, a netip.AddrPort) (*http.Request, error) {
	r := p.request
	method := r.Method
	if method == "" {
		method = http.MethodGet
	}
	u := "http://" + a.String() + "/call/" + url.PathEscape(r.Service) + "/" + url.PathEscape(r.Rank) + "/" + strings.TrimPrefix(r.Path, "/")
	req, err := http.NewRequestWithContext(ctx, method, u, opaqueBody{bytes.NewReader(r.Body)})
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(r.Body))
	for k, v := range r.Header {
		req.Header[k] = v
	}
	p.setHeaders(ctx, req)
	return req, nil
}

func (p *pendingRequest) setHeaders(ctx context.Context, req *http.Request) {
	if d, ok := ctx.Deadline(); ok {
		req.Header.Set(headerDeadline, d.UTC().Format(time.RFC3339Nano))
	}
	if !p.request.OnceOnly {
		return
	}
	req.Header.Set(headerKey, p.request.Key)
	if p.newKey && len(p.tried) == p.previousKeyAttempts+1 {
		req.Header.Set(headerAttempt, "1")
	}
}

func (c *Client) send(ctx context.Context, a netip.AddrPort, p *pendingRequest) (*Answer, *Failure) {
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := p.newHTTPRequest(traced, a)
	if err != nil {
		return nil, failure(classifier.MalformedRequest, classifier.OutcomeNotRun, err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, transportFailure(ctx, connected.Load(), err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.maxAnswer+1))
	if err != nil {
		return nil, transportFailure(ctx, true, err)
	}
	if int64(len(body)) > c.maxAnswer {
		return nil, failure(classifier.AnswerMalformed, classifier.OutcomeUnknown, errors.Errorf("response body exceeds %d bytes", c.maxAnswer))
	}
	if f := responseFailure(resp); f != nil {
		return nil, f
	}
	return &Answer{
		Status: resp.StatusCode, Header: resp.Header, Body: body,
		Attempts: len(p.tried), Entry: a, Key: p.request.Key,
	}, nil
}

// transportFailure returns the failure of a request that was never sent, or of one that may have been executed.
func transportFailure(ctx context.Context, connected bool, err error) *Failure {
	code := classifier.EntryLost
	outcome := classifier.OutcomeUnknown
	if !connected {
		code = classifier.EntryUnreachable
		outcome = classifier.OutcomeNotRun
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		code = classifier.UpstreamTimeout
	} else if ctx.Err() != nil {
		code = classifier.CallerGone
	}
	return failure(code, outcome, err)
}

// responseFailure returns nil if the response comes from an upstream. A response without an
// outcome does not come from an entry, so that its outcome is unknown.
func responseFailure(resp *http.Response) *Failure {
	outcome := resp.Header.Get(headerOutcome)
	code, err := strconv.ParseUint(resp.Header.Get(headerCode), 10, 16)
	if outcome == "" {
		return failure(classifier.AnswerMalformed, classifier.OutcomeUnknown, errors.New(resp.Status))
	}
	if err != nil && outcome == classifier.OutcomeDone.String() {
		return nil
	}
	return failure(classifier.Code(code), classifier.ParseOutcome(outcome), nil)
}
