package soaker

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/azuretrestle/azuretrestle/platform/faker"
)

const (
	// methodOnce is the method of once-only requests.
	methodOnce = http.MethodPost
	// callerTimeout bounds a caller's request.
	callerTimeout = 2500 * time.Millisecond
	// directoryTimeout bounds a directory request and the dialling of a connection.
	directoryTimeout = time.Second
	// maxDirectoryTries is the number of entries whose directory a caller tries per refresh.
	maxDirectoryTries = 3
	// meanRequestInterval is the mean time between two requests of a caller.
	meanRequestInterval = 60 * time.Millisecond
	// maxBody bounds an ordinary request body in bytes, maxLargeBody a large one.
	maxBody      = 2 << 10
	maxLargeBody = 256 << 10
	// largeBodyShare sets the share of large bodies: one in largeBodyShare once-only requests has one.
	largeBodyShare = 20
	// lateShare sets the share of requests that are answered around their deadline, which
	// is between minLateTimeout and maxLateTimeout: one in lateShare once-only requests.
	lateShare      = 4
	minLateTimeout = 60 * time.Millisecond
	maxLateTimeout = 260 * time.Millisecond
	// staleFactor makes one in staleFactor callers use a directory response for staleFactor
	// times its validity.
	staleFactor = 3
)

// caller sends requests one at a time over persistent connections.
type caller struct {
	testbed   *testbed
	number    int
	random    *rand.Rand
	client    *http.Client
	directory faker.Directory
	sent      int
	// failed holds the entries to which a request has failed since the last directory response.
	failed map[netip.AddrPort]bool
}

func newCaller(b *testbed, number int) *caller {
	c := &caller{testbed: b, number: number, random: rand.New(rand.NewPCG(b.Seed, uint64(number)+2))}
	d := net.Dialer{Timeout: directoryTimeout}
	c.client = &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return d.DialContext(ctx, network, b.dialAddress(address))
		},
		DisableCompression: true,
	}}
	return c
}

// run sends requests until the run ends.
func (c *caller) run() {
	defer c.client.CloseIdleConnections()
	for c.testbed.traffic.Err() == nil {
		if time.Now().After(c.directory.Until) {
			c.refreshDirectory()
		}
		if entry, ok := c.pickEntry(); ok {
			c.send(entry)
		}
		c.testbed.sleep(time.Duration(c.random.ExpFloat64() * float64(meanRequestInterval)))
	}
}

// refreshDirectory fetches the directory; if no entry responds, the previous one stays in use.
func (c *caller) refreshDirectory() {
	for range maxDirectoryTries {
		p := c.testbed.processes[c.random.IntN(len(c.testbed.processes))]
		ctx, cancel := context.WithTimeout(c.testbed.ctx, directoryTimeout)
		d, err := faker.Resolve(ctx, c.client, p.settings.Directory, dataCentre)
		cancel()
		if err != nil {
			continue
		}
		if c.number%staleFactor == 0 {
			d.Until = d.Until.Add((staleFactor - 1) * time.Until(d.Until))
		}
		c.directory = d
		c.failed = make(map[netip.AddrPort]bool)
		return
	}
}

// pickEntry chooses a random entry of the directory without a failed request. If there
// is none, it reports false and makes the caller refresh the directory.
func (c *caller) pickEntry() (netip.AddrPort, bool) {
	var usable []netip.AddrPort
	for _, a := range c.directory.Entries {
		if !c.failed[a] {
			usable = append(usable, a)
		}
	}
	if len(usable) == 0 {
		c.directory.Until = time.Time{}
		return netip.AddrPort{}, false
	}
	return usable[c.random.IntN(len(usable))], true
}

// send sends a request to an entry and records its result.
func (c *caller) send(entry netip.AddrPort) {
	c.sent++
	r := Request{
		ID: fmt.Sprintf("c%d-%d", c.number, c.sent), Entry: c.testbed.entryNumber(entry),
		Method: http.MethodGet, Target: fmt.Sprintf("/read/%d?n=%d", c.number, c.sent),
	}
	timeout := callerTimeout
	if c.random.IntN(3) == 0 {
		r.Method, r.Target = methodOnce, fmt.Sprintf("/post/%d", c.sent)
		r.Body = 1 + c.random.IntN(maxBody)
		if c.random.IntN(lateShare) == 0 {
			r.Target = fmt.Sprintf("/post%s%d", faker.LatePath, c.sent)
			timeout = minLateTimeout + time.Duration(c.random.Int64N(int64(maxLateTimeout-minLateTimeout)))
		}
		if c.random.IntN(largeBodyShare) == 0 {
			r.Body = 1 + c.random.IntN(maxLargeBody)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	req, err := faker.NewRequest(ctx, r.Method, entry.String(), r.Target, r.ID, timeout)
	if err != nil {
		c.testbed.fail(err)
		return
	}
	if r.Body > 0 {
		req.Body = io.NopCloser(bytes.NewReader(make([]byte, r.Body)))
		req.ContentLength = int64(r.Body)
	}
	r.SentAt = time.Now()
	err = c.exchange(req, &r)
	r.EndedAt = time.Now()
	if err != nil {
		r.Status = 0
		// The entries are killed at the end of the run, so errors from then on don't count as lost requests.
		r.GaveUp = ctx.Err() != nil || c.testbed.ctx.Err() != nil
		c.failed[entry] = true
	}
	c.testbed.recorder.request(r)
}

// exchange sends an HTTP request and stores the response in r.
func (c *caller) exchange(req *http.Request, r *Request) error {
	resp, err := c.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.Wrap(err, "response body not read")
	}
	r.Status = resp.StatusCode
	r.Answer = string(b)
	r.Stamp = faker.Stamp(resp.Header)
	return nil
}
