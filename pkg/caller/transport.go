package caller

import (
	"net/http"
	"sync"
	"time"
)

const (
	maxIdlePerEntry = 256
	idleTimeout     = time.Minute
)

// transportPool has one HTTP transport for each entry, so that the idle connections
// to one entry can be closed separately.
type transportPool struct {
	mu     sync.Mutex
	byHost map[string]*http.Transport
}

// RoundTrip sends a request, and closes the idle connections to an entry that responds with
// Connection: close. A stopping entry closes them too, and a request written at that moment is lost.
func (t *transportPool) RoundTrip(r *http.Request) (*http.Response, error) {
	transport := t.transport(r.URL.Host)
	resp, err := transport.RoundTrip(r)
	if err == nil && resp.Close {
		transport.CloseIdleConnections()
	}
	return resp, err
}

func (t *transportPool) transport(host string) *http.Transport {
	t.mu.Lock()
	defer t.mu.Unlock()
	transport, ok := t.byHost[host]
	if !ok {
		transport = &http.Transport{MaxIdleConnsPerHost: maxIdlePerEntry, IdleConnTimeout: idleTimeout, DisableCompression: true}
		if t.byHost == nil {
			t.byHost = make(map[string]*http.Transport)
		}
		t.byHost[host] = transport
	}
	return transport
}

// retainOnly closes the idle connections to all entries that are not in the list; connections
// with a request in flight close when it ends.
func (t *transportPool) retainOnly(list []Entry) {
	listed := make(map[string]bool, len(list))
	for _, e := range list {
		listed[e.Address.String()] = true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for host, transport := range t.byHost {
		if !listed[host] {
			transport.CloseIdleConnections()
			delete(t.byHost, host)
		}
	}
}

// CloseIdleConnections closes the idle connections to all entries.
func (t *transportPool) CloseIdleConnections() { t.retainOnly(nil) }
