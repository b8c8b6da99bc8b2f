package recorder

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// ErrRefused is returned by Append if the record was certainly not appended.
var ErrRefused = errors.New("log refused the record")

// maxResponseBytes is the maximum size of a response from the platform.
const maxResponseBytes = 16 << 20

// Page is a sequence of records of a stream.
type Page struct {
	// First is the offset of the oldest record that the log retains.
	First uint64
	// Next is the offset after the last record of the page.
	Next uint64
	// Tail is the offset of the next record to be appended.
	Tail    uint64
	Records []Record
}

// Record is one record of a stream.
type Record struct {
	Offset  uint64
	Payload []byte
}

// Host is one item of the host list.
type Host struct {
	Name       string
	Address    netip.AddrPort
	DataCentre string
	Role       string
	Leaving    bool
}

// Log is the platform's append-only log service.
type Log interface {
	// Append adds a record and returns its offset. After an error other than
	// ErrRefused the record may have been appended.
	Append(ctx context.Context, stream string, payload []byte) (uint64, error)
	// Read returns records of a stream from the given offset on.
	Read(ctx context.Context, stream string, from uint64) (Page, error)
}

// Lister is the platform's list of hosts.
type Lister interface {
	// Hosts returns the list, which may be stale.
	Hosts(ctx context.Context) ([]Host, error)
}

// Client is an HTTP client of the platform. It implements Log and Lister.
type Client struct {
	log   string
	hosts string
	http  *http.Client
}

// Limits for requests to the platform. The context of a call limits its total time.
// Within it, an append or read waits at most dialTimeout for a connection.
const (
	dialTimeout    = time.Second
	idleTimeout    = time.Minute
	maxConnections = 8
	maxHeaderBytes = 16 << 10
)

// NewClient returns a client of the log and the host list at the given addresses.
func NewClient(log, hosts netip.AddrPort) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{
		log:   "http://" + log.String(),
		hosts: "http://" + hosts.String(),
		http: &http.Client{
			Transport: &http.Transport{
				DialContext:            dialer.DialContext,
				MaxConnsPerHost:        maxConnections,
				IdleConnTimeout:        idleTimeout,
				MaxResponseHeaderBytes: maxHeaderBytes,
			},
			// A redirect would send an append to an address that is not in the settings.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// appendResponse is the log's response to an append. Offset is nil if the log sent none.
type appendResponse struct{ Offset *uint64 }

// Append adds a record to a stream.
func (c *Client) Append(ctx context.Context, stream string, payload []byte) (uint64, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.log+"/streams/"+url.PathEscape(stream), bytes.NewReader(payload))
	if err != nil {
		return 0, ErrRefused
	}
	// Without GetBody, the transport cannot retry the append on its own.
	req.GetBody = nil
	var a appendResponse
	err = c.do(req, &a)
	switch {
	case err != nil && !connected.Load():
		// No data was sent, because there was no connection.
		return 0, errors.Wrap(ErrRefused, err.Error())
	case err != nil:
		return 0, err
	case a.Offset == nil:
		return 0, errors.New("log response has no offset")
	default:
		return *a.Offset, nil
	}
}

// Read returns records of a stream from the given offset on.
func (c *Client) Read(ctx context.Context, stream string, from uint64) (Page, error) {
	var p Page
	err := c.get(ctx, c.log+"/streams/"+url.PathEscape(stream)+"?From="+strconv.FormatUint(from, 10), &p)
	return p, err
}

// Hosts returns the host list.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	var h []Host
	err := c.get(ctx, c.hosts+"/hosts", &h)
	return h, err
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

func (c *Client) get(ctx context.Context, u string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, http.NoBody)
	if err != nil {
		return err
	}
	return c.do(req, out)
}

func (c *Client) do(req *http.Request, out any) error {
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusBadRequest && resp.StatusCode < http.StatusInternalServerError {
		return errors.Wrap(ErrRefused, resp.Status)
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("platform responded with status %s", resp.Status)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return err
	}
	if len(body) > maxResponseBytes {
		return errors.Errorf("platform response exceeds %d bytes", maxResponseBytes)
	}
	return json.Unmarshal(body, out)
}
