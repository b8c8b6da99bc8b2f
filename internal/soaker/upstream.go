package soaker

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/azuretrestle/azuretrestle/platform/faker"
)

// Services of faker.Document.
const (
	serviceOnce  = "tickets"
	serviceOther = "other"
)

const (
	// heartbeatInterval is the time between two renewals of a registration.
	heartbeatInterval = 1500 * time.Millisecond
	// registrationExpiry is the time without a heartbeat after which the store drops a registration.
	registrationExpiry = 3 * heartbeatInterval
	// reuseAfter is the time after a crash until the replacement starts, which may reuse the address.
	reuseAfter = 2 * time.Second
	// restartAfter is the time after a crash until the same service starts again at the address.
	restartAfter = 200 * time.Millisecond
	// storeRetryInterval is the time between two attempts to write while the store is unavailable.
	storeRetryInterval = 100 * time.Millisecond
	// repeatingShare sets the share of upstreams that repeat their refusals: one in repeatingShare.
	repeatingShare = 2
	upstreamSlots  = 8
	upstreamWork   = 15 * time.Millisecond
)

// upstream is one of the numbered upstreams; drains and crashes replace its current server.
type upstream struct {
	testbed *testbed
	number  int

	mu sync.Mutex
	// count is the number of servers started so far.
	count   int
	current *instance
}

// instance is one of the successive servers of an upstream.
type instance struct {
	*faker.Server
	http *http.Server
	link *proxy
	// done is closed once the server has stopped or begins to drain.
	done chan struct{}
	once sync.Once
	mu   sync.Mutex
	// sequence is the sequence number of the last registration.
	sequence int
	state    string
}

// start starts a server behind the given link, or behind a new one if link is nil.
func (u *upstream) start(service string, link *proxy) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.testbed.ctx.Err() != nil {
		// A server that starts after the end of the run would never be closed.
		return nil
	}
	u.count++
	lis, err := listen(u.testbed.upstreamAddress(u.number, u.count))
	if err != nil {
		return err
	}
	s := &faker.Server{
		ID: fmt.Sprintf("u%d-%d", u.number, u.count), Service: service, Zone: dataCentre, Slots: upstreamSlots,
		Work: upstreamWork, OnRun: u.testbed.recorder.run,
	}
	if link == nil {
		if link, err = newProxy(u.testbed.linkAddress(u.number, u.count), lis.Addr().String()); err != nil {
			_ = lis.Close()
			return err
		}
	} else {
		link.mu.Lock()
		link.target = lis.Addr().String()
		link.mu.Unlock()
	}
	s.Address = netip.MustParseAddrPort(link.address())
	i := &instance{
		Server: s, http: &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}, link: link,
		done: make(chan struct{}), state: "ready",
	}
	u.current = i
	if u.number%repeatingShare == 0 {
		lis = repeatingListener{lis}
	}
	u.testbed.work.Go(func() { _ = i.http.Serve(lis) })
	u.testbed.work.Go(func() { u.sendHeartbeats(i) })
	return nil
}

// sendHeartbeats renews the server's registration until it stops or drains.
func (u *upstream) sendHeartbeats(i *instance) {
	for {
		u.register(i)
		select {
		case <-i.done:
			return
		case <-u.testbed.ctx.Done():
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// register writes the server's registration; it reports false if the store did not accept it.
func (u *upstream) register(i *instance) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.sequence++
	return u.testbed.putRegistration(i.ID, i.Registration(i.state, i.sequence))
}

// markDone marks the server as stopped or draining; it reports false if it was already.
func (i *instance) markDone() bool {
	first := false
	i.once.Do(func() {
		first = true
		close(i.done)
	})
	return first
}

// claim marks the current server as done and returns it, so that one fault alone replaces
// it: the server that another one starts in its place would never be closed. It returns nil
// if the server can't be replaced.
func (u *upstream) claim() *instance {
	i := u.replaceable()
	if i == nil || !i.markDone() {
		return nil
	}
	return i
}

// replaceable returns the current server if another server of its service remains, else nil.
func (u *upstream) replaceable() *instance {
	i := u.serving()
	if i == nil {
		return nil
	}
	others := 0
	for _, o := range u.testbed.upstreams {
		if have := o.serving(); o != u && have != nil && have.Service == i.Service {
			others++
		}
	}
	if others == 0 {
		return nil
	}
	return i
}

// serving returns the current server, or nil if it has stopped or drains.
func (u *upstream) serving() *instance {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.current == nil {
		return nil
	}
	select {
	case <-u.current.done:
		return nil
	default:
		return u.current
	}
}

// drain starts a new server and drains the old one. If silently is set, it removes the
// old server's registration without announcing the drain.
func (u *upstream) drain(silently bool) {
	i := u.claim()
	if i == nil {
		return
	}
	if err := u.start(i.Service, nil); err != nil {
		u.testbed.fail(err)
		return
	}
	u.testbed.retry(func() bool {
		if silently {
			return u.testbed.putRegistration(i.ID, nil)
		}
		i.mu.Lock()
		i.state = "draining"
		i.mu.Unlock()
		return u.register(i)
	})
	u.testbed.recorder.departure(i.ID)
	u.testbed.sleep(drainBound + time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = i.http.Shutdown(ctx)
	_ = i.http.Close()
	i.link.close()
	if !silently {
		u.testbed.retry(func() bool { return u.testbed.putRegistration(i.ID, nil) })
	}
}

// crash stops the server abruptly. Another one starts after reuseAfter; if reuse is
// set, it has the same address and belongs to the other service. Otherwise every second
// one has the same address under another name, while the former registration still stands.
func (u *upstream) crash(reuse bool) {
	i := u.claim()
	if i == nil {
		return
	}
	u.testbed.recorder.crash(i.ID)
	_ = i.http.Close()
	i.link.setMode(ModeReset)
	u.testbed.work.Go(func() {
		u.testbed.sleep(registrationExpiry)
		u.testbed.retry(func() bool { return u.testbed.putRegistration(i.ID, nil) })
		u.testbed.recorder.departure(i.ID)
	})
	service, link, delay := i.Service, i.link, reuseAfter
	switch {
	case reuse:
		service = oppositeService(service)
	case u.started()%2 == 0:
		link = nil
		i.link.close()
	default:
		delay = restartAfter
	}
	u.testbed.sleep(delay)
	if link != nil {
		link.setMode(ModePass)
	}
	if err := u.start(service, link); err != nil {
		u.testbed.fail(err)
	}
}

// started returns the number of servers started so far.
func (u *upstream) started() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.count
}

func oppositeService(s string) string {
	if s == serviceOnce {
		return serviceOther
	}
	return serviceOnce
}

// close stops the current server.
func (u *upstream) close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.current != nil {
		_ = u.current.markDone()
		_ = u.current.http.Close()
		u.current.link.close()
	}
}
