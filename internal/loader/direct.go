package loader

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"

	"github.com/pkg/errors"

	"github.com/azuretrestle/azuretrestle/pkg/caller"
)

const (
	// maxDirectAnswer bounds an answer of a stand-in, in bytes.
	maxDirectAnswer = 1 << 20
	// directIdle is the number of unused connections kept to each stand-in.
	directIdle = 64
)

// directClient keeps connections to the stand-ins as an entry does.
func directClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: directIdle}}
}

// direct sends a request to the upstreams of its service in turn, without an entry.
func (r *run) direct(ctx context.Context, req caller.Request, n int) (*caller.Answer, error) {
	list := r.options.Direct[req.Service]
	if len(list) == 0 {
		return nil, errors.Errorf("service %s has no upstream", req.Service)
	}
	u := url.URL{Scheme: "http", Host: list[n%len(list)].String(), Path: req.Path}
	hr, err := http.NewRequestWithContext(ctx, req.Method, u.String(), bytes.NewReader(req.Body))
	if err != nil {
		return nil, err
	}
	hr.Header = req.Header
	resp, err := r.http.Do(hr)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxDirectAnswer))
	if err != nil {
		return nil, err
	}
	return &caller.Answer{Status: resp.StatusCode, Body: body, Key: req.Header.Get(keyHeader)}, nil
}
