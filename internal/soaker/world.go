package soaker

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/azuretrestle/azuretrestle/platform"
	"github.com/azuretrestle/azuretrestle/platform/faker"
)

// Options describes a run.
type Options struct {
	// Program is the path of the azuretrestle program.
	Program string
	// Folder gets the settings and logs of the entries.
	Folder string
	Seed   uint64
	Length time.Duration
	Size
	Callers int
	// Out gets a line for each fault.
	Out io.Writer
}

const (
	dataCentre = "a"
	// entryMemory is the limit that is named to an entry in bytes.
	entryMemory = 256 << 20
	// maxSeeds is the number of entries whose addresses are named to the others.
	maxSeeds = 3
	// watchInterval is the time between two looks at the clock, of which one that
	// comes late by lateWatch shows that the host is too busy for the bounds.
	watchInterval = 20 * time.Millisecond
	lateWatch     = 150 * time.Millisecond
)

// Ports of an entry and of the stand-ins.
const (
	portCallers   = 8381
	portPeers     = 8382
	portDirectory = 8383
	portReadiness = 8388
	portMetrics   = 7200
	portStore     = 8384
	portProxy     = 8391
	portUpstream  = 20000
	portLink      = 30000
)

// world is the system with its surroundings.
type world struct {
	Options
	// network is the first of the three /24 networks of the run.
	network   [4]byte
	recorder  recorder
	store     faker.Store
	storeHTTP *http.Server
	processes []*process
	upstreams []*upstream
	// callerLinks and storeLinks hold the links of the entries.
	callerLinks []*proxy
	storeLinks  []*proxy

	ctx    context.Context
	cancel context.CancelCauseFunc
	work   sync.WaitGroup

	mu      sync.Mutex
	version int
	// broken counts the faults of the store in force.
	broken map[faker.StoreFault]int
}

// Run plays the plan of a seed and checks what was seen; it fails if the
// surroundings could not be set up or the context ends.
func Run(ctx context.Context, o Options) (*Report, error) {
	w := &world{Options: o, network: network(os.Getpid()), broken: make(map[faker.StoreFault]int)}
	w.ctx, w.cancel = context.WithCancelCause(ctx)
	defer w.close()
	if err := w.start(); err != nil {
		return nil, err
	}
	begun := time.Now()
	w.recorder.trace.Begun = begun
	w.work.Go(w.watchClock)
	for i := range o.Callers {
		w.work.Go(newCaller(w, i).run)
	}
	steps := Plan(o.Seed, begun, o.Length, o.Size)
	for i, s := range steps {
		w.work.Go(func() { w.play(begun, s, rand.New(rand.NewPCG(o.Seed, uint64(i)))) })
	}
	select {
	case <-time.After(time.Until(begun.Add(o.Length))):
	case <-w.ctx.Done():
		return nil, context.Cause(w.ctx)
	}
	w.close()
	return newReport(w.recorder.finish(), steps), nil
}

// network chooses a loopback network, so that runs of several processes don't meet.
func network(id int) [4]byte {
	const first, networks, perNetwork = 64, 128, 4
	return [4]byte{127, byte(first + id/64%networks), byte(id % 64 * perNetwork), 0}
}

// ip returns the address of a host in one of the run's networks.
func (w *world) ip(part, host int) netip.Addr {
	n := w.network
	n[2] += byte(part)
	n[3] = byte(host + 1)
	return netip.AddrFrom4(n)
}

func (w *world) entryAddress(entry, port int) netip.AddrPort {
	return netip.AddrPortFrom(w.ip(0, entry), uint16(port))
}

func (w *world) upstreamAddress(upstream, count int) string {
	return netip.AddrPortFrom(w.ip(1, upstream), uint16(portUpstream+count)).String()
}

func (w *world) linkAddress(upstream, count int) string {
	return netip.AddrPortFrom(w.ip(1, upstream), uint16(portLink+count)).String()
}

// proxied returns where to connect instead of an address for callers.
func (w *world) proxied(address string) string {
	a, err := netip.ParseAddrPort(address)
	if err != nil || a.Port() != portCallers {
		return address
	}
	return netip.AddrPortFrom(a.Addr(), portProxy).String()
}

// number returns that of the entry with an address for callers.
func (w *world) number(a netip.AddrPort) int { return int(a.Addr().As4()[3]) - 1 }

// start sets everything up, with the first version in the store.
func (w *world) start() error {
	lis, err := listen(netip.AddrPortFrom(w.ip(2, 0), portStore).String())
	if err != nil {
		return errors.Wrap(err, "store")
	}
	w.storeHTTP = &http.Server{Handler: &w.store, ReadHeaderTimeout: time.Minute}
	w.work.Go(func() { _ = w.storeHTTP.Serve(lis) })
	w.configure()
	for i := range w.Upstreams {
		u := &upstream{world: w, number: i}
		w.upstreams = append(w.upstreams, u)
		service := serviceOnce
		if i%2 == 1 {
			service = serviceOther
		}
		if err := u.start(service, nil); err != nil {
			return errors.Wrap(err, "upstream")
		}
	}
	for i := range w.Entries {
		if err := w.startEntry(i, lis.Addr().String()); err != nil {
			return errors.Wrapf(err, "entry %d", i)
		}
	}
	return nil
}

func (w *world) startEntry(i int, store string) error {
	callers, err := newProxy(w.entryAddress(i, portProxy).String(), w.entryAddress(i, portCallers).String())
	if err != nil {
		return err
	}
	w.callerLinks = append(w.callerLinks, callers)
	link, err := newProxy(w.entryAddress(i, portStore).String(), store)
	if err != nil {
		return err
	}
	w.storeLinks = append(w.storeLinks, link)
	s := &platform.Settings{
		Name: fmt.Sprintf("entry-%d", i), DataCentre: dataCentre,
		Callers: w.entryAddress(i, portCallers), Peers: w.entryAddress(i, portPeers),
		Directory: w.entryAddress(i, portDirectory), Readiness: w.entryAddress(i, portReadiness),
		Metrics: w.entryAddress(i, portMetrics), Store: w.entryAddress(i, portStore),
		Memory: entryMemory, Grace: graceBound, MaxAnswer: answerBound,
		RepeatRatio: repeatRatio, RepeatSlack: repeatSlack, ProbeRate: probeRate,
	}
	for seed := range min(maxSeeds, w.Entries) {
		s.Seeds = append(s.Seeds, w.entryAddress(seed, portPeers))
	}
	p, err := newProcess(w.ctx, i, s, w.Program, w.Folder, &w.recorder)
	if err != nil {
		return err
	}
	w.processes = append(w.processes, p)
	return p.start(false)
}

// watchClock notes when this process itself got no processor time.
func (w *world) watchClock() {
	for last := time.Now(); w.ctx.Err() == nil; {
		time.Sleep(watchInterval)
		now := time.Now()
		if now.Sub(last) > watchInterval+lateWatch {
			w.recorder.disturb(Disturbance{Entry: everyEntry, From: last, Until: now, Cause: "busy host"})
		}
		last = now
	}
}

// put writes the record of an upstream, or drops it if there is no value; it
// reports false if the store takes none.
func (w *world) put(upstream string, value []byte) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.writable() {
		return false
	}
	w.store.Put(faker.TopicServers, upstream, value)
	return true
}

// until calls f until it reports true or the run ends.
func (w *world) until(f func() bool) {
	for !f() && w.ctx.Err() == nil {
		w.pause(storePoll)
	}
}

// pause waits for a time, or for the end of the run.
func (w *world) pause(d time.Duration) {
	select {
	case <-time.After(d):
	case <-w.ctx.Done():
	}
}

// fail ends the run because its surroundings failed.
func (w *world) fail(err error) { w.cancel(err) }

// close ends everything that the run started.
func (w *world) close() {
	w.cancel(context.Canceled)
	for _, p := range w.processes {
		p.close()
	}
	if w.storeHTTP != nil {
		_ = w.storeHTTP.Close()
	}
	for _, u := range w.upstreams {
		u.close()
	}
	for _, l := range append(w.callerLinks, w.storeLinks...) {
		l.close()
	}
	w.work.Wait()
}
