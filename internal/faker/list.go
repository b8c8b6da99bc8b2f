package faker

import (
	"net/http"
	"net/netip"
	"sync"
)

// Host is one line of the host list.
type Host struct {
	Name       string
	Address    netip.AddrPort
	DataCentre string
	Role       string
	Leaving    bool
}

// List is a stand-in of the platform's host list; it shows what was set last, so a test decides how it lags.
type List struct {
	mu    sync.Mutex
	hosts []Host
}

// Set replaces the list.
func (l *List) Set(hosts []Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts = append([]Host(nil), hosts...)
}

// ServeHTTP answers with the list.
func (l *List) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	hosts := l.hosts
	l.mu.Unlock()
	writeJSON(w, hosts)
}

// Handler returns the list's HTTP interface.
func (l *List) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/hosts", l)
	return mux
}
