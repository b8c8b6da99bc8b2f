package loader

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/azuretrestle/azuretrestle/pkg/caller"
	"github.com/azuretrestle/azuretrestle/pkg/classifier"
)

const keyHeader = "Idempotency-Key"

// class is the category of a request's result.
type class uint8

const (
	classCorrect class = iota
	classWrong
	classNotRun
	classUnknown
	classNotSent
)

// result is the result of one request.
type result struct {
	rank int
	// at is the intended start.
	at      time.Time
	latency time.Duration
	class   class
	code    classifier.Code
	key     string
	// detail describes a wrong response.
	detail string
}

// sendAndRecord sends a request with a unique path, so that a response to another
// request is detected as wrong, and records its result.
func (r *run) sendAndRecord(ctx context.Context, s *schedule, n int, at time.Time) {
	rank := r.options.Ranks[s.rank]
	ctx, cancel := context.WithDeadline(ctx, at.Add(rank.Patience))
	defer cancel()
	req := r.request(rank, s.rank, n)
	a, err := r.send(ctx, req, n)
	res := result{rank: s.rank, at: at, latency: time.Since(at), key: req.Header.Get(keyHeader)}
	res.classify(req, a, err)
	r.record(res)
}

func (r *run) send(ctx context.Context, req caller.Request, n int) (*caller.Answer, error) {
	if r.options.Direct != nil {
		return r.sendDirect(ctx, req, n)
	}
	return r.clients[n%len(r.clients)].Do(ctx, req)
}

func (r *run) request(rank Rank, index, n int) caller.Request {
	req := caller.Request{
		Service: rank.Service, Rank: rank.Name, OnceOnly: rank.OnceOnly,
		Path: fmt.Sprintf("/%s/%s/%d", rank.Name, r.id, n), Header: make(http.Header),
	}
	if rank.Body > 0 || rank.OnceOnly {
		req.Method = http.MethodPost
		req.Body = bytes.Repeat([]byte{'x'}, rank.Body)
	}
	if !rank.OnceOnly || r.options.Direct != nil {
		// Fake upstreams count executions by this header, also of idempotent requests.
		req.Header.Set(keyHeader, fmt.Sprintf("%s-%d-%d", r.id, index, n))
	}
	return req
}

// classify sets the class of the result, and the code and key if they are known.
func (res *result) classify(req caller.Request, a *caller.Answer, err error) {
	var f *caller.Failure
	if errors.As(err, &f) {
		res.class = classUnknown
		if f.Outcome == classifier.OutcomeNotRun {
			res.class = classNotRun
		}
		res.code = f.Code
		if f.Key != "" {
			res.key = f.Key
		}
		return
	}
	if err != nil {
		res.class = classUnknown
		res.code = classifier.ConnectionLost
		return
	}
	if a.Key != "" {
		res.key = a.Key
	}
	if !matches(req, a) {
		res.class = classWrong
		res.detail = fmt.Sprintf("status %d, body %.80q to %s", a.Status, a.Body, req.Path)
	}
}

// matches reports whether the response is the fake upstream's response to exactly this request.
func matches(req caller.Request, a *caller.Answer) bool {
	method := req.Method
	if method == "" {
		method = http.MethodGet
	}
	want := fmt.Sprintf(" %s %s %d\n", method, req.Path, len(req.Body))
	return a.Status == http.StatusOK && bytes.HasSuffix(a.Body, []byte(want))
}
