package administrator

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/azuretrestle/azuretrestle/internal/auditor"
	"github.com/azuretrestle/azuretrestle/pkg/classifier"
	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

// maxResponseBytes bounds the body of a response.
const maxResponseBytes = 64 << 20

// Client calls the administration interface of one entry.
type Client struct {
	base  string
	token string
	http  *http.Client
}

// NewClient returns a client of an entry. If authority, a file of CA certificates,
// is not empty, the client uses TLS; token may be empty. It fails if the file can't be used.
func NewClient(a netip.AddrPort, token, authority string) (*Client, error) {
	t := &http.Transport{}
	c := &Client{base: "http://" + a.String(), token: token, http: &http.Client{Transport: t}}
	if authority == "" {
		return c, nil
	}
	pem, err := os.ReadFile(authority)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("%s contains no PEM certificate", authority)
	}
	t.TLSClientConfig = &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: pool}
	c.base = "https://" + a.String()
	return c, nil
}

// Close closes the idle connections of the client.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Refusal is the error for a call that an entry refused.
type Refusal struct{ Reply }

// Error returns the code, its text, the detail, the entries that are still
// pending, and after a stale patch the current version.
func (r Refusal) Error() string {
	s := r.Code.String() + ": " + r.Code.Text()
	if r.Detail != "" {
		s += " (" + r.Detail + ")"
	}
	if len(r.Pending) > 0 {
		s += "; waiting for " + strings.Join(r.Pending, ", ")
	}
	if r.Code == classifier.StaleVersion {
		s += "; the current version is " + strconv.FormatUint(r.Version, 10)
	}
	return s
}

// Config returns the configuration in force; it fails with a Refusal or a network error.
func (c *Client) Config(ctx context.Context) (*patcher.Config, error) {
	out := new(patcher.Config)
	return out, c.do(ctx, http.MethodGet, "/config", nil, out)
}

// Status returns the status of the entry; it fails with a Refusal or a network error.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var out Status
	err := c.do(ctx, http.MethodGet, "/status", nil, &out)
	return out, err
}

// Audit returns the newest audit entries; it fails with a Refusal or a network error.
func (c *Client) Audit(ctx context.Context) ([]auditor.Entry, error) {
	var out []auditor.Entry
	err := c.do(ctx, http.MethodGet, "/audit", nil, &out)
	return out, err
}

// Patch submits a patch and returns its result; it fails with a Refusal or a network error.
func (c *Client) Patch(ctx context.Context, p patcher.Patch) (Reply, error) {
	body, err := json.Marshal(p)
	if err != nil {
		return Reply{}, err
	}
	var out Reply
	err = c.do(ctx, http.MethodPost, "/patches", body, &out)
	return out, err
}

func (c *Client) do(ctx context.Context, method, path string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return refusalError(resp, data)
	}
	return json.Unmarshal(data, out)
}

func refusalError(resp *http.Response, data []byte) error {
	var r Reply
	if err := json.Unmarshal(data, &r); err != nil || r.Code == classifier.OK {
		return errors.Errorf("entry returned HTTP status %s", resp.Status)
	}
	return Refusal{r}
}
