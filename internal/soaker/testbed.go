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

// Options configures a run.
type Options struct {
	// Program is the path of the azuretrestle program.
	Program string
	// Folder receives the settings and logs of the entries.
	Folder string
	Seed   uint64
	Length time.Duration
	Size
	Callers int
	// Out receives a line for each fault.
	Out io.Writer
}

const (
	dataCentre = "a"
	// entryMemory is the memory limit in an entry's settings, in bytes.
	entryMemory = 256 << 20
	// maxSeeds is the number of entries that the settings list as seeds.
	maxSeeds = 3
	// stallCheckInterval is the time between two readings of the clock. A reading that
	// is late by stallThreshold shows that the host is too busy for the bounds to hold.
	stallCheckInterval = 20 * time.Millisecond
	stallThreshold     = 150 * time.Millisecond
)

// Ports of the entries, proxies and fakes.
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

// testbed is the system under test with its callers, upstreams, store and links.
type testbed struct {
	Options
	// network is the first of the three /24 networks of the run.
	network   [4]byte
	recorder  recorder
	store     faker.Store
	storeHTTP *http.Server
	processes []*process
	upstreams []*upstream
	// callerLinks and storeLinks are indexed by the number of the entry.
	callerLinks []*proxy
	storeLinks  []*proxy

	ctx    context.Context
	cancel context.CancelCauseFunc
	// traffic ends when the callers have to stop.
	traffic     context.Context
	stopTraffic context.CancelFunc
	work        sync.WaitGroup

	mu      sync.Mutex
	version int
	// storeFaults counts the active faults of the store by type.
	storeFaults map[faker.StoreFault]int
}

// Run carries out the plan of a seed and checks the trace. It fails if the test
// bed can't be set up or fails during the run, or if the context ends.
func Run(ctx context.Context, o Options) (*Report, error) {
	b := &testbed{Options: o, network: network(os.Getpid()), storeFaults: make(map[faker.StoreFault]int)}
	b.ctx, b.cancel = context.WithCancelCause(ctx)
	b.traffic, b.stopTraffic = context.WithCancel(b.ctx)
	defer b.close()
	if err := b.start(); err != nil {
		return nil, err
	}
	startedAt := time.Now()
	b.recorder.trace.Begun = startedAt
	b.recorder.trace.UpstreamCount = o.Upstreams
	b.work.Go(b.detectStalls)
	for i := range o.Callers {
		b.work.Go(newCaller(b, i).run)
	}
	steps := Plan(o.Seed, startedAt, o.Length, o.Size)
	for i, s := range steps {
		b.work.Go(func() { b.runStep(startedAt, s, rand.New(rand.NewPCG(o.Seed, uint64(i)))) })
	}
	select {
	case <-time.After(time.Until(startedAt.Add(o.Length))):
	case <-b.ctx.Done():
		return nil, context.Cause(b.ctx)
	}
	b.recordUsage()
	b.close()
	return newReport(b.recorder.finish(), steps), nil
}

// network chooses a loopback network by process id, so that concurrent runs don't collide.
func network(id int) [4]byte {
	const first, networks, perNetwork = 64, 128, 4
	return [4]byte{127, byte(first + id/64%networks), byte(id % 64 * perNetwork), 0}
}

// ip returns the address of a host in one of the run's three networks.
func (b *testbed) ip(part, host int) netip.Addr {
	n := b.network
	n[2] += byte(part)
	n[3] = byte(host + 1)
	return netip.AddrFrom4(n)
}

func (b *testbed) entryAddress(entry, port int) netip.AddrPort {
	return netip.AddrPortFrom(b.ip(0, entry), uint16(port))
}

func (b *testbed) upstreamAddress(upstream, count int) string {
	return netip.AddrPortFrom(b.ip(1, upstream), uint16(portUpstream+count)).String()
}

func (b *testbed) linkAddress(upstream, count int) string {
	return netip.AddrPortFrom(b.ip(1, upstream), uint16(portLink+count)).String()
}

// dialAddress maps an entry's address for callers to that of its proxy and returns others unchanged.
func (b *testbed) dialAddress(address string) string {
	a, err := netip.ParseAddrPort(address)
	if err != nil || a.Port() != portCallers {
		return address
	}
	return netip.AddrPortFrom(a.Addr(), portProxy).String()
}

// entryNumber returns the number of the entry with the given address for callers.
func (b *testbed) entryNumber(a netip.AddrPort) int { return int(a.Addr().As4()[3]) - 1 }

// start starts the store with a first configuration version, the upstreams and the entries.
func (b *testbed) start() error {
	lis, err := listen(netip.AddrPortFrom(b.ip(2, 0), portStore).String())
	if err != nil {
		return errors.Wrap(err, "store not started")
	}
	b.storeHTTP = &http.Server{Handler: &b.store, ReadHeaderTimeout: time.Minute}
	b.work.Go(func() { _ = b.storeHTTP.Serve(lis) })
	b.configure()
	for i := range b.Upstreams {
		u := &upstream{testbed: b, number: i}
		b.upstreams = append(b.upstreams, u)
		service := serviceOnce
		if i%2 == 1 {
			service = serviceOther
		}
		if err := u.start(service, nil); err != nil {
			return errors.Wrap(err, "upstream not started")
		}
	}
	for i := range b.Entries {
		if err := b.startEntry(i, lis.Addr().String()); err != nil {
			return errors.Wrapf(err, "entry %d not started", i)
		}
	}
	return nil
}

func (b *testbed) startEntry(i int, store string) error {
	callers, err := newProxy(b.entryAddress(i, portProxy).String(), b.entryAddress(i, portCallers).String())
	if err != nil {
		return err
	}
	b.callerLinks = append(b.callerLinks, callers)
	link, err := newProxy(b.entryAddress(i, portStore).String(), store)
	if err != nil {
		return err
	}
	b.storeLinks = append(b.storeLinks, link)
	s := &platform.Settings{
		Name: fmt.Sprintf("entry-%d", i), DataCentre: dataCentre,
		Callers: b.entryAddress(i, portCallers), Peers: b.entryAddress(i, portPeers),
		Directory: b.entryAddress(i, portDirectory), Readiness: b.entryAddress(i, portReadiness),
		Metrics: b.entryAddress(i, portMetrics), Store: b.entryAddress(i, portStore),
		Memory: entryMemory, Grace: graceBound, MaxAnswer: maxDirectoryTTL,
		RepeatRatio: retryRatio, RepeatSlack: retrySlack, ProbeRate: probeRate,
	}
	for seed := range min(maxSeeds, b.Entries) {
		s.Seeds = append(s.Seeds, b.entryAddress(seed, portPeers))
	}
	p, err := newProcess(b.ctx, i, s, b.Program, b.Folder, &b.recorder)
	if err != nil {
		return err
	}
	b.processes = append(b.processes, p)
	return p.start(false)
}

// detectStalls records a disturbance of all entries whenever this process was not
// scheduled for longer than stallThreshold.
func (b *testbed) detectStalls() {
	for last := time.Now(); b.ctx.Err() == nil; {
		time.Sleep(stallCheckInterval)
		now := time.Now()
		if now.Sub(last) > stallCheckInterval+stallThreshold {
			b.recorder.disturb(Disturbance{Entry: allEntries, From: last, Until: now, Cause: "busy host"})
		}
		last = now
	}
}

// putRegistration writes the registration of an upstream, or removes it if the value
// is empty. It reports false if the store accepts no records.
func (b *testbed) putRegistration(upstream string, value []byte) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.writable() {
		return false
	}
	b.store.Put(faker.TopicServers, upstream, value)
	return true
}

// retry calls f until it reports true or the run ends.
func (b *testbed) retry(f func() bool) {
	for !f() && b.ctx.Err() == nil {
		b.sleep(storeRetryInterval)
	}
}

// sleep waits for a duration or until the run ends.
func (b *testbed) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-b.ctx.Done():
	}
}

// fail ends the run with an error of the test bed.
func (b *testbed) fail(err error) { b.cancel(err) }

// close stops everything that the run started.
func (b *testbed) close() {
	b.cancel(context.Canceled)
	for _, p := range b.processes {
		p.close()
	}
	if b.storeHTTP != nil {
		_ = b.storeHTTP.Close()
	}
	for _, u := range b.upstreams {
		u.close()
	}
	for _, l := range append(b.callerLinks, b.storeLinks...) {
		l.close()
	}
	b.work.Wait()
}
