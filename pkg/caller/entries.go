package caller

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/azuretrestle/azuretrestle/pkg/classifier"
)

const (
	// askPatience bounds one question to one entry, so that a dead seed costs little.
	askPatience = time.Second
	// maxListing bounds the answer to a question in bytes.
	maxListing = 1 << 20
	// avoidPeriod is how long an entry that failed is used only if no other is left.
	avoidPeriod = 2 * time.Second
	// expiryMargin is the time before the expiry of an answer at which a new one
	// is asked for. A stopping entry closes its listeners as the last answer that
	// names it expires, and a request takes a while from the choice of an entry
	// to its arrival there.
	expiryMargin = 250 * time.Millisecond
)

// Entry is one entry that the system told to use.
type Entry struct {
	Name       string
	Address    netip.AddrPort
	DataCentre string
}

type wireEntries struct {
	Entries []Entry
	Expires time.Time
}

// directory holds the last answer until it expires.
type directory struct {
	mu      sync.Mutex
	list    []Entry
	expires time.Time
	avoid   map[netip.AddrPort]time.Time
	// asking is closed when the question under way has ended.
	asking chan struct{}
}

func (d *directory) fresh(now time.Time) ([]Entry, bool) {
	return d.list, len(d.list) > 0 && now.Before(d.expires.Add(-expiryMargin))
}

// current returns unexpired entries; of several callers that find none, one asks and the others wait.
func (c *Client) current(ctx context.Context) ([]Entry, error) {
	if c.fixed {
		return c.fixedEntries(), nil
	}
	d := &c.entries
	for {
		d.mu.Lock()
		if list, ok := d.fresh(time.Now()); ok {
			d.mu.Unlock()
			return list, nil
		}
		if d.asking == nil {
			d.asking = make(chan struct{})
			d.mu.Unlock()
			return c.refresh(ctx)
		}
		asking := d.asking
		d.mu.Unlock()
		select {
		case <-asking:
		case <-ctx.Done():
			return nil, failure(classifier.EntriesUnavailable, classifier.OutcomeNotRun, ctx.Err())
		}
	}
}

func (c *Client) fixedEntries() []Entry {
	var list []Entry
	for _, a := range c.seeds {
		list = append(list, Entry{Name: a.String(), Address: a})
	}
	return list
}

// refresh asks entries in random order until one answers; the entries of the
// expired answer are asked too, since the seeds may have been replaced.
func (c *Client) refresh(ctx context.Context) ([]Entry, error) {
	d := &c.entries
	d.mu.Lock()
	ask := slices.Clone(c.seeds)
	for _, e := range d.list {
		if !slices.Contains(ask, e.Address) {
			ask = append(ask, e.Address)
		}
	}
	d.mu.Unlock()
	rand.Shuffle(len(ask), func(i, j int) { ask[i], ask[j] = ask[j], ask[i] })
	w, err := c.askEach(ctx, ask)
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.asking)
	d.asking = nil
	if err != nil {
		return nil, failure(classifier.EntriesUnavailable, classifier.OutcomeNotRun, err)
	}
	d.list = w.Entries
	d.expires = w.Expires
	if t, ok := c.http.Transport.(*transports); ok {
		t.keep(w.Entries)
	}
	return w.Entries, nil
}

func (c *Client) askEach(ctx context.Context, ask []netip.AddrPort) (wireEntries, error) {
	last := errors.New("no seed addresses")
	for _, a := range ask {
		var w wireEntries
		err := c.get(ctx, a, "/entries?DataCentre="+url.QueryEscape(c.dataCentre), &w)
		if err == nil && len(w.Entries) > 0 && time.Now().Before(w.Expires) {
			return w, nil
		}
		if err == nil {
			err = errors.Errorf("%s named no entries", a)
		}
		last = err
	}
	return wireEntries{}, last
}

func (c *Client) get(ctx context.Context, a netip.AddrPort, path string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, askPatience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.String()+path, http.NoBody)
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxListing))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("%s answered %s to %s", a, resp.Status, path)
	}
	return json.Unmarshal(body, out)
}

// avoidEntry keeps an entry that failed out of use for a while.
func (c *Client) avoidEntry(a netip.AddrPort) {
	d := &c.entries
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.avoid == nil {
		d.avoid = make(map[netip.AddrPort]time.Time)
	}
	d.avoid[a] = time.Now().Add(avoidPeriod)
}

// choose returns a random entry, one that wasn't tried and didn't fail lately if there is one.
func (c *Client) choose(list []Entry, tried []netip.AddrPort) Entry {
	now := time.Now()
	d := &c.entries
	d.mu.Lock()
	defer d.mu.Unlock()
	for a, until := range d.avoid {
		if now.After(until) {
			delete(d.avoid, a)
		}
	}
	best := slices.DeleteFunc(slices.Clone(list), func(e Entry) bool { return slices.Contains(tried, e.Address) })
	if len(best) == 0 {
		best = slices.Clone(list)
	}
	good := slices.DeleteFunc(slices.Clone(best), func(e Entry) bool {
		_, bad := d.avoid[e.Address]
		return bad
	})
	if len(good) > 0 {
		best = good
	}
	return best[rand.IntN(len(best))]
}
