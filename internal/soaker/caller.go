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
	// methodOnce is that of requests that must not run twice.
	methodOnce = http.MethodPost
	// callerPatience is how long a caller waits for an answer.
	callerPatience = 2500 * time.Millisecond
	// askPatience is how long it waits for a directory answer.
	askPatience = time.Second
	// maxAsked is the number of entries that it asks.
	maxAsked = 3
	// meanGap is the mean time between two requests of a caller.
	meanGap = 60 * time.Millisecond
	// maxBody bounds the usual body of a request in bytes, maxBulk that of the large ones.
	maxBody = 2 << 10
	maxBulk = 256 << 10
	// bulkShare is the reciprocal share of the large bodies.
	bulkShare = 20
	// keepFactor is how much longer than it should some callers keep a directory answer.
	keepFactor = 3
)

// caller sends one request after the other over connections that it keeps.
type caller struct {
	world  *world
	number int
	random *rand.Rand
	client *http.Client
	known  faker.Directory
	sent   int
	// failed holds the entries that failed this caller since the last directory answer.
	failed map[netip.AddrPort]bool
}

func newCaller(w *world, number int) *caller {
	c := &caller{world: w, number: number, random: rand.New(rand.NewPCG(w.Seed, uint64(number)+2))}
	d := net.Dialer{Timeout: askPatience}
	c.client = &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return d.DialContext(ctx, network, w.proxied(address))
		},
		DisableCompression: true,
	}}
	return c
}

// run sends requests until the run ends.
func (c *caller) run() {
	defer c.client.CloseIdleConnections()
	for c.world.ctx.Err() == nil {
		if time.Now().After(c.known.Until) {
			c.ask()
		}
		if entry, ok := c.pick(); ok {
			c.send(entry)
		}
		c.world.pause(time.Duration(c.random.ExpFloat64() * float64(meanGap)))
	}
}

// ask renews the directory answer; without a new one the old one holds.
func (c *caller) ask() {
	for range maxAsked {
		p := c.world.processes[c.random.IntN(len(c.world.processes))]
		ctx, cancel := context.WithTimeout(c.world.ctx, askPatience)
		d, err := faker.Resolve(ctx, c.client, p.settings.Directory, dataCentre)
		cancel()
		if err != nil {
			continue
		}
		if c.number%keepFactor == 0 {
			d.Until = d.Until.Add((keepFactor - 1) * time.Until(d.Until))
		}
		c.known = d
		c.failed = make(map[netip.AddrPort]bool)
		return
	}
}

func (c *caller) pick() (netip.AddrPort, bool) {
	var usable []netip.AddrPort
	for _, a := range c.known.Entries {
		if !c.failed[a] {
			usable = append(usable, a)
		}
	}
	if len(usable) == 0 {
		c.known.Until = time.Time{}
		return netip.AddrPort{}, false
	}
	return usable[c.random.IntN(len(usable))], true
}

// send sends a request to an entry and records how it ended.
func (c *caller) send(entry netip.AddrPort) {
	c.sent++
	r := Request{
		ID: fmt.Sprintf("c%d-%d", c.number, c.sent), Entry: c.world.number(entry),
		Method: http.MethodGet, Target: fmt.Sprintf("/read/%d?n=%d", c.number, c.sent),
	}
	if c.random.IntN(3) == 0 {
		r.Method, r.Target = methodOnce, fmt.Sprintf("/post/%d", c.sent)
		r.Body = 1 + c.random.IntN(maxBody)
		if c.random.IntN(bulkShare) == 0 {
			r.Body = 1 + c.random.IntN(maxBulk)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), callerPatience)
	defer cancel()
	req, err := faker.NewRequest(ctx, r.Method, entry.String(), r.Target, r.ID, callerPatience)
	if err != nil {
		c.world.fail(err)
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
		// At the end of the run the entries are killed.
		r.GaveUp = ctx.Err() != nil || c.world.ctx.Err() != nil
		c.failed[entry] = true
	}
	c.world.recorder.request(r)
}

func (c *caller) exchange(req *http.Request, r *Request) error {
	resp, err := c.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.Wrap(err, "answer")
	}
	r.Status = resp.StatusCode
	r.Answer = string(b)
	r.Stamp = faker.Stamp(resp.Header)
	return nil
}
