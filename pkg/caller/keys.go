package caller

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/azuretrestle/azuretrestle/pkg/classifier"
)

const (
	// keyBatch is the number of keys asked for at once.
	keyBatch = 16
	// keyLife is how long a key may wait for its use. Entries run no key older
	// than 10 minutes, so that retries need most of that time.
	keyLife = time.Minute
)

type wireKeys struct{ Keys []string }

// keyStore holds unused keys.
type keyStore struct {
	mu     sync.Mutex
	keys   []string
	useBy  time.Time
	asking sync.Mutex
}

func (k *keyStore) take() (string, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.keys) == 0 || time.Now().After(k.useBy) {
		return "", false
	}
	key := k.keys[0]
	k.keys = k.keys[1:]
	return key, true
}

// drop forgets the unused keys; those of one batch are likely to share a witness.
func (k *keyStore) drop() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.keys = nil
}

// Key returns an idempotency key that was never used; it fails with a Failure
// whose outcome is NotRun if no entry issues one.
func (c *Client) Key(ctx context.Context) (string, error) {
	if key, ok := c.keys.take(); ok {
		return key, nil
	}
	c.keys.asking.Lock()
	defer c.keys.asking.Unlock()
	if key, ok := c.keys.take(); ok {
		return key, nil
	}
	keys, err := c.askKeys(ctx)
	if err != nil {
		return "", err
	}
	c.keys.mu.Lock()
	defer c.keys.mu.Unlock()
	c.keys.keys = keys[1:]
	c.keys.useBy = time.Now().Add(keyLife)
	return keys[0], nil
}

func (c *Client) askKeys(ctx context.Context) ([]string, error) {
	list, err := c.current(ctx)
	if err != nil {
		return nil, err
	}
	var last error
	for _, e := range list {
		var w wireKeys
		last = c.get(ctx, e.Address, "/keys?Count="+strconv.Itoa(keyBatch), &w)
		if last == nil && len(w.Keys) > 0 {
			return w.Keys, nil
		}
	}
	return nil, failure(classifier.KeysUnavailable, classifier.OutcomeNotRun, last)
}
