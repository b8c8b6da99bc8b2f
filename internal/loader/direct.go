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
	// maxDirectBody bounds the body of an upstream's response, in bytes.
	maxDirectBody = 1 << 20
	// maxIdleDirect is the number of idle connections kept to each upstream.
	maxIdleDirect = 64
)

// directClient returns a client that keeps idle connections to the upstreams, as an entry does.
func directClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleDirect}}
}

// sendDirect sends a request to an upstream of its service, round robin and without an entry.
func (r *run) sendDirect(ctx context.Context, req caller.Request, n int) (*caller.Answer, error) {
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
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxDirectBody))
	if err != nil {
		return nil, err
	}
	return &caller.Answer{Status: resp.StatusCode, Body: body, Key: req.Header.Get(keyHeader)}, nil
}
