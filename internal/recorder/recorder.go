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

// ErrRefused is returned by Append if the log certainly did not take the record.
var ErrRefused = errors.New("log refused the record")

// maxAnswer bounds an answer of the platform in bytes.
const maxAnswer = 16 << 20

// Page is a run of records of a stream.
type Page struct {
	// First is the offset of the oldest record that the log still keeps.
	First uint64
	// Next is the offset after the last record of the page.
	Next uint64
	// Tail is the offset that the next append gets.
	Tail    uint64
	Records []Record
}

// Record is one record of a stream.
type Record struct {
	Offset  uint64
	Payload []byte
}

// Host is one line of the host list.
type Host struct {
	Name       string
	Address    netip.AddrPort
	DataCentre string
	Role       string
	Leaving    bool
}

// Log is the platform's append-only log service.
type Log interface {
	// Append adds a record and returns its offset; after an error other than ErrRefused it may have taken effect.
	Append(ctx context.Context, stream string, payload []byte) (uint64, error)
	// Read returns records from an offset on.
	Read(ctx context.Context, stream string, from uint64) (Page, error)
}

// Lister is the platform's list of hosts.
type Lister interface {
	// Hosts returns the list, which lags behind the truth.
	Hosts(ctx context.Context) ([]Host, error)
}

// Client speaks HTTP to the platform; it is a Log and a Lister.
type Client struct {
	log   string
	hosts string
	http  *http.Client
}

// Bounds on the platform's part of an exchange. The caller's context bounds an
// exchange as a whole; an append or read within it waits at most dialPatience for a connection.
const (
	dialPatience   = time.Second
	idlePatience   = time.Minute
	maxConnections = 8
	maxHeaders     = 16 << 10
)

// NewClient returns a client of the log and the host list at the given addresses.
func NewClient(log, hosts netip.AddrPort) *Client {
	dialer := &net.Dialer{Timeout: dialPatience}
	return &Client{
		log:   "http://" + log.String(),
		hosts: "http://" + hosts.String(),
		http: &http.Client{
			Transport: &http.Transport{
				DialContext:            dialer.DialContext,
				MaxConnsPerHost:        maxConnections,
				IdleConnTimeout:        idlePatience,
				MaxResponseHeaderBytes: maxHeaders,
			},
			// A redirect would send an append to a place that the settings don't name.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

type appended struct{ Offset *uint64 }

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
	// Without GetBody the transport can't send the record a second time by itself.
	req.GetBody = nil
	var a appended
	err = c.do(req, &a)
	switch {
	case err != nil && !connected.Load():
		// Without a connection no byte was sent.
		return 0, errors.Wrap(ErrRefused, err.Error())
	case err != nil:
		return 0, err
	case a.Offset == nil:
		return 0, errors.New("log answered without an offset")
	default:
		return *a.Offset, nil
	}
}

// Read returns records of a stream from an offset on.
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

// Close closes the idle connections of the client.
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
		return errors.Errorf("platform answered %s", resp.Status)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	if err != nil {
		return err
	}
	if len(body) > maxAnswer {
		return errors.Errorf("platform answered more than %d bytes", maxAnswer)
	}
	return json.Unmarshal(body, out)
}
