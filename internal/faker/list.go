package faker

import (
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// Host is one host in the host list.
type Host struct {
	Name       string
	Address    netip.AddrPort
	DataCentre string
	Role       string
	Leaving    bool
}

// List is a fake of the platform's host list. Changes become visible after a configurable lag.
type List struct {
	mu      sync.Mutex
	hosts   []Host
	pending []pendingHosts
	lag     time.Duration
	down    bool
}

type pendingHosts struct {
	visibleAt time.Time
	hosts     []Host
}

// SetHosts replaces the hosts; the new ones become visible after the lag.
func (l *List) SetHosts(hosts []Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append(l.pending, pendingHosts{time.Now().Add(l.lag), append([]Host(nil), hosts...)})
}

// SetLag sets the delay until later changes become visible.
func (l *List) SetLag(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = d
}

// SetDown sets whether the list refuses every request.
func (l *List) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// listCommand is the body of a control request. If Hosts is missing, the hosts don't change.
type listCommand struct {
	Hosts []Host
	Lag   Period
	Down  bool
}

func (l *List) apply(c listCommand) {
	l.SetLag(c.Lag.Duration)
	l.SetDown(c.Down)
	if c.Hosts != nil {
		l.SetHosts(c.Hosts)
	}
}

func (l *List) state() any {
	hosts, _ := l.visible(time.Now())
	l.mu.Lock()
	defer l.mu.Unlock()
	return listCommand{Hosts: hosts, Lag: Period{l.lag}, Down: l.down}
}

// visible returns the hosts that are visible at a time, and false if the list is down.
func (l *List) visible(now time.Time) ([]Host, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.pending) > 0 && !now.Before(l.pending[0].visibleAt) {
		l.hosts = l.pending[0].hosts
		l.pending = l.pending[1:]
	}
	return l.hosts, !l.down
}

// ServeHTTP responds with the visible hosts.
func (l *List) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	hosts, ok := l.visible(time.Now())
	if !ok {
		http.Error(w, "list is down", http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, hosts)
}

// Handler returns an HTTP handler for the list and its control path.
func (l *List) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/hosts", l)
	mux.HandleFunc(controlPath, func(w http.ResponseWriter, r *http.Request) {
		serveControl(w, r, l.apply, l.state)
	})
	return mux
}
