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
	// discoveryTimeout is the timeout of one query to one entry, so that an unreachable seed causes little delay.
	discoveryTimeout = time.Second
	// maxDiscoveryBody bounds the body of the response to a query in bytes.
	maxDiscoveryBody = 1 << 20
	// avoidPeriod is the time after a failure of an entry during which it is used only if no other is left.
	avoidPeriod = 2 * time.Second
	// expiryMargin is the time before the expiry of a list of entries at which a
	// new one is fetched. A stopping entry closes its listeners when the last list
	// that contains it expires, and a request needs some time from the choice of an
	// entry to its arrival there.
	expiryMargin = 250 * time.Millisecond
)

// Entry is an entry that the system listed for use by the caller.
type Entry struct {
	Name       string
	Address    netip.AddrPort
	DataCentre string
}

type wireEntries struct {
	Entries []Entry
	Expires time.Time
}

// directory caches the latest list of entries until it expires.
type directory struct {
	mu         sync.Mutex
	list       []Entry
	expires    time.Time
	avoidUntil map[netip.AddrPort]time.Time
	// refreshing is closed when the refresh in progress has ended.
	refreshing chan struct{}
}

func (d *directory) unexpired(now time.Time) ([]Entry, bool) {
	return d.list, len(d.list) > 0 && now.Before(d.expires.Add(-expiryMargin))
}

// current returns unexpired entries. If several goroutines find none, one fetches them and the others wait.
func (c *Client) current(ctx context.Context) ([]Entry, error) {
	if c.fixedList {
		return c.fixedEntries(), nil
	}
	d := &c.directory
	for {
		d.mu.Lock()
		if list, ok := d.unexpired(time.Now()); ok {
			d.mu.Unlock()
			return list, nil
		}
		if d.refreshing == nil {
			d.refreshing = make(chan struct{})
			d.mu.Unlock()
			return c.refresh(ctx)
		}
		refreshing := d.refreshing
		d.mu.Unlock()
		select {
		case <-refreshing:
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

// refresh queries entries in random order until one returns a list. It also queries the
// entries of the expired list, since the seeds may have been replaced.
func (c *Client) refresh(ctx context.Context) ([]Entry, error) {
	d := &c.directory
	d.mu.Lock()
	addresses := slices.Clone(c.seeds)
	for _, e := range d.list {
		if !slices.Contains(addresses, e.Address) {
			addresses = append(addresses, e.Address)
		}
	}
	d.mu.Unlock()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	w, err := c.queryUntilAnswered(ctx, addresses)
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.refreshing)
	d.refreshing = nil
	if err != nil {
		return nil, failure(classifier.EntriesUnavailable, classifier.OutcomeNotRun, err)
	}
	d.list = w.Entries
	d.expires = w.Expires
	if t, ok := c.http.Transport.(*transportPool); ok {
		t.retainOnly(w.Entries)
	}
	return w.Entries, nil
}

// queryUntilAnswered queries one address after the other until one returns an unexpired list.
func (c *Client) queryUntilAnswered(ctx context.Context, addresses []netip.AddrPort) (wireEntries, error) {
	lastErr := errors.New("no seed addresses")
	for _, a := range addresses {
		var w wireEntries
		err := c.getJSON(ctx, a, "/entries?DataCentre="+url.QueryEscape(c.dataCentre), &w)
		if err == nil && len(w.Entries) > 0 && time.Now().Before(w.Expires) {
			return w, nil
		}
		if err == nil {
			err = errors.Errorf("%s listed no unexpired entries", a)
		}
		lastErr = err
	}
	return wireEntries{}, lastErr
}

func (c *Client) getJSON(ctx context.Context, a netip.AddrPort, path string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, discoveryTimeout)
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
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxDiscoveryBody))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("%s returned status %s for %s", a, resp.Status, path)
	}
	return json.Unmarshal(body, out)
}

// avoidEntry makes choose skip an entry that failed, during avoidPeriod and as long as others are left.
func (c *Client) avoidEntry(a netip.AddrPort) {
	d := &c.directory
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.avoidUntil == nil {
		d.avoidUntil = make(map[netip.AddrPort]time.Time)
	}
	d.avoidUntil[a] = time.Now().Add(avoidPeriod)
}

// choose returns a random entry. It prefers those that were not tried, and among them those that have
// not failed within avoidPeriod.
func (c *Client) choose(list []Entry, tried []netip.AddrPort) Entry {
	now := time.Now()
	d := &c.directory
	d.mu.Lock()
	defer d.mu.Unlock()
	for a, until := range d.avoidUntil {
		if now.After(until) {
			delete(d.avoidUntil, a)
		}
	}
	candidates := slices.DeleteFunc(slices.Clone(list), func(e Entry) bool { return slices.Contains(tried, e.Address) })
	if len(candidates) == 0 {
		candidates = slices.Clone(list)
	}
	healthy := slices.DeleteFunc(slices.Clone(candidates), func(e Entry) bool {
		_, avoided := d.avoidUntil[e.Address]
		return avoided
	})
	if len(healthy) > 0 {
		candidates = healthy
	}
	return candidates[rand.IntN(len(candidates))]
}
