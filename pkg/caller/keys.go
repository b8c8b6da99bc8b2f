package caller

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/azuretrestle/azuretrestle/pkg/classifier"
)

const (
	// keyBatch is the number of keys that are fetched in one query.
	keyBatch = 16
	// keyMaxAge is the age up to which an unused key is given to a request. Entries execute no
	// request whose key is older than 10 minutes, and most of that time must be left for retries.
	keyMaxAge = time.Minute
)

type wireKeys struct{ Keys []string }

// keyStore caches unused keys.
type keyStore struct {
	mu       sync.Mutex
	keys     []string
	expires  time.Time
	fetching sync.Mutex
}

func (k *keyStore) take() (string, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.keys) == 0 || time.Now().After(k.expires) {
		return "", false
	}
	key := k.keys[0]
	k.keys = k.keys[1:]
	return key, true
}

// discard removes the unused keys. It is called after the witness of a key was silent or lost,
// since the keys of one batch are likely to have the same witness.
func (k *keyStore) discard() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.keys = nil
}

// Key returns an unused idempotency key; it fails with a Failure
// whose outcome is NotRun if no entry issues one.
func (c *Client) Key(ctx context.Context) (string, error) {
	if key, ok := c.keys.take(); ok {
		return key, nil
	}
	c.keys.fetching.Lock()
	defer c.keys.fetching.Unlock()
	if key, ok := c.keys.take(); ok {
		return key, nil
	}
	keys, err := c.fetchKeys(ctx)
	if err != nil {
		return "", err
	}
	c.keys.mu.Lock()
	defer c.keys.mu.Unlock()
	c.keys.keys = keys[1:]
	c.keys.expires = time.Now().Add(keyMaxAge)
	return keys[0], nil
}

func (c *Client) fetchKeys(ctx context.Context) ([]string, error) {
	list, err := c.current(ctx)
	if err != nil {
		return nil, err
	}
	var lastErr error
	for _, e := range list {
		var w wireKeys
		lastErr = c.getJSON(ctx, e.Address, "/keys?Count="+strconv.Itoa(keyBatch), &w)
		if lastErr == nil && len(w.Keys) > 0 {
			return w.Keys, nil
		}
	}
	return nil, failure(classifier.KeysUnavailable, classifier.OutcomeNotRun, lastErr)
}
