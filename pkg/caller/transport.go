package caller

import (
	"net/http"
	"sync"
	"time"
)

const (
	maxIdlePerEntry = 256
	idlePatience    = time.Minute
)

// transports has one HTTP transport for each entry, so that the connections
// kept to one entry can be closed alone.
type transports struct {
	mu     sync.Mutex
	byHost map[string]*http.Transport
}

// RoundTrip closes the kept connections to an entry that asks for it: a
// stopping entry closes them too, and a request written at that moment is lost.
func (t *transports) RoundTrip(r *http.Request) (*http.Response, error) {
	own := t.transport(r.URL.Host)
	resp, err := own.RoundTrip(r)
	if err == nil && resp.Close {
		own.CloseIdleConnections()
	}
	return resp, err
}

func (t *transports) transport(host string) *http.Transport {
	t.mu.Lock()
	defer t.mu.Unlock()
	own, ok := t.byHost[host]
	if !ok {
		own = &http.Transport{MaxIdleConnsPerHost: maxIdlePerEntry, IdleConnTimeout: idlePatience, DisableCompression: true}
		if t.byHost == nil {
			t.byHost = make(map[string]*http.Transport)
		}
		t.byHost[host] = own
	}
	return own
}

// keep closes the connections to all other entries; those with a request in
// progress close when it ends.
func (t *transports) keep(list []Entry) {
	named := make(map[string]bool, len(list))
	for _, e := range list {
		named[e.Address.String()] = true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for host, own := range t.byHost {
		if !named[host] {
			own.CloseIdleConnections()
			delete(t.byHost, host)
		}
	}
}

// CloseIdleConnections closes the kept connections to all entries.
func (t *transports) CloseIdleConnections() { t.keep(nil) }
