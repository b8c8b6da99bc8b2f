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

// Services of the stand-in's document.
const (
	serviceOnce  = "tickets"
	serviceOther = "other"
)

const (
	heartbeat = 1500 * time.Millisecond
	// forgotten is the silence after which the store drops a registration.
	forgotten = 3 * heartbeat
	// reuseAfter is the time after which an address may belong to another upstream.
	reuseAfter = 2 * time.Second
	// storePoll is the time between two attempts to write while the store is away.
	storePoll     = 100 * time.Millisecond
	upstreamSlots = 8
	upstreamWork  = 15 * time.Millisecond
)

// upstream is a place at which one server after the other runs.
type upstream struct {
	world  *world
	number int

	mu      sync.Mutex
	count   int
	current *instance
}

// instance is one server.
type instance struct {
	*faker.Server
	http *http.Server
	link *proxy
	// gone is closed once the server has ended or is about to leave.
	gone chan struct{}
	once sync.Once
	mu   sync.Mutex
	// sequence is that of the last record in the store.
	sequence int
	state    string
}

// start runs a server behind a new link, or behind the given one.
func (u *upstream) start(service string, link *proxy) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.world.ctx.Err() != nil {
		// Nothing closes what starts after the end of the run.
		return nil
	}
	u.count++
	lis, err := listen(u.world.upstreamAddress(u.number, u.count))
	if err != nil {
		return err
	}
	s := &faker.Server{
		ID: fmt.Sprintf("u%d-%d", u.number, u.count), Service: service, Zone: dataCentre, Slots: upstreamSlots,
		Work: upstreamWork, OnRun: u.world.recorder.run,
	}
	if link == nil {
		if link, err = newProxy(u.world.linkAddress(u.number, u.count), lis.Addr().String()); err != nil {
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
		gone: make(chan struct{}), state: "ready",
	}
	u.current = i
	u.world.work.Go(func() { _ = i.http.Serve(lis) })
	u.world.work.Go(func() { u.beat(i) })
	return nil
}

// beat registers the server until it is gone.
func (u *upstream) beat(i *instance) {
	for {
		u.register(i)
		select {
		case <-i.gone:
			return
		case <-u.world.ctx.Done():
			return
		case <-time.After(heartbeat):
		}
	}
}

// register writes the server's record; it reports false if the store did not take it.
func (u *upstream) register(i *instance) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.sequence++
	return u.world.put(i.ID, i.Registration(i.state, i.sequence))
}

func (i *instance) end() { i.once.Do(func() { close(i.gone) }) }

// spare returns the server in place if its service can do without it.
func (u *upstream) spare() *instance {
	i := u.serving()
	if i == nil {
		return nil
	}
	others := 0
	for _, o := range u.world.upstreams {
		if have := o.serving(); o != u && have != nil && have.Service == i.Service {
			others++
		}
	}
	if others == 0 {
		return nil
	}
	return i
}

// serving returns the server in place, nil if it is about to leave or has ended.
func (u *upstream) serving() *instance {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.current == nil {
		return nil
	}
	select {
	case <-u.current.gone:
		return nil
	default:
		return u.current
	}
}

// drain starts a new server and lets the old one leave.
func (u *upstream) drain(silently bool) {
	i := u.spare()
	if i == nil {
		return
	}
	i.end()
	if err := u.start(i.Service, nil); err != nil {
		u.world.fail(err)
		return
	}
	u.world.until(func() bool {
		if silently {
			return u.world.put(i.ID, nil)
		}
		i.mu.Lock()
		i.state = "draining"
		i.mu.Unlock()
		return u.register(i)
	})
	u.world.recorder.departure(i.ID)
	u.world.pause(drainBound + time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = i.http.Shutdown(ctx)
	_ = i.http.Close()
	i.link.close()
	if !silently {
		u.world.until(func() bool { return u.world.put(i.ID, nil) })
	}
}

// crash ends the server; another one starts after a while, at the same address if reuse is set.
func (u *upstream) crash(reuse bool) {
	i := u.spare()
	if i == nil {
		return
	}
	i.end()
	u.world.recorder.crash(i.ID)
	_ = i.http.Close()
	i.link.setMode(ModeReset)
	u.world.work.Go(func() {
		u.world.pause(forgotten)
		u.world.until(func() bool { return u.world.put(i.ID, nil) })
		u.world.recorder.departure(i.ID)
	})
	u.world.pause(reuseAfter)
	service, link := i.Service, (*proxy)(nil)
	if reuse {
		service, link = otherService(service), i.link
		link.setMode(ModePass)
	} else {
		i.link.close()
	}
	if err := u.start(service, link); err != nil {
		u.world.fail(err)
	}
}

func otherService(s string) string {
	if s == serviceOnce {
		return serviceOther
	}
	return serviceOnce
}

// close ends the server in place.
func (u *upstream) close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.current != nil {
		u.current.end()
		_ = u.current.http.Close()
		u.current.link.close()
	}
}
