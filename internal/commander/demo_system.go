package commander

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/azuretrestle/azuretrestle/internal/faker"
	"github.com/azuretrestle/azuretrestle/internal/parser"
	"github.com/azuretrestle/azuretrestle/internal/reducer"
	"github.com/azuretrestle/azuretrestle/pkg/classifier"
	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

// demoSystem runs the fakes and the entries of a system in one process on loopback.
type demoSystem struct {
	deployment deployment
	log        *faker.Log
	servers    []*server
	upstreams  []*demoUpstream

	mu      sync.Mutex
	entries []*demoEntry
}

// demoEntry is an entry of the demo with its last observed state.
type demoEntry struct {
	*entry
	stopped     bool
	lastVersion uint64
}

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// serve starts an HTTP server for h on a free loopback port.
func (s *demoSystem) serve(h http.Handler) (*server, netip.AddrPort, error) {
	srv, err := newServer(loopback, h, nil, zap.NewNop())
	if err != nil {
		return nil, netip.AddrPort{}, err
	}
	srv.start()
	s.servers = append(s.servers, srv)
	return srv, netip.MustParseAddrPort(srv.listener.Addr().String()), nil
}

// Ports are chosen below the ephemeral range of the operating system. An outgoing
// connection could take a port of that range between its choice and its use.
const (
	firstPort = 12_000
	lastPort  = 32_000
)

// freePorts returns n loopback addresses whose ports are unused. It keeps all listeners
// open until the last port is found, so that no port is returned twice.
func freePorts(n int) ([]netip.AddrPort, error) {
	var list []netip.AddrPort
	var err error
	for tries := 0; len(list) < n && tries < maxPortTries; tries++ {
		at := netip.AddrPortFrom(loopback.Addr(), uint16(firstPort+rand.IntN(lastPort-firstPort)))
		var l net.Listener
		l, err = (&net.ListenConfig{}).Listen(context.Background(), "tcp", at.String())
		if err != nil {
			continue
		}
		defer func() { _ = l.Close() }()
		list = append(list, at)
	}
	if len(list) < n {
		return nil, err
	}
	return list, nil
}

// maxPortTries is the largest number of ports that freePorts tries.
const maxPortTries = 1000

// maxStarts is the largest number of times that startDemo tries free ports. Another process
// may take a port between its choice and the start.
const maxStarts = 3

// startDemo starts the fakes and the entries and waits until the first configuration
// is in force at every entry.
func startDemo(ctx context.Context, d deployment, entries int) (*demoSystem, error) {
	for n := 1; ; n++ {
		s, err := startDemoOnce(ctx, d, entries)
		if n == maxStarts || !errors.Is(err, syscall.EADDRINUSE) {
			return s, err
		}
	}
}

func startDemoOnce(ctx context.Context, d deployment, entries int) (*demoSystem, error) {
	s := &demoSystem{deployment: d, log: faker.NewLog()}
	err := s.start(entries)
	if err == nil {
		err = s.configure(ctx)
	}
	if err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *demoSystem) start(entries int) error {
	_, log, err := s.serve(s.log.Handler())
	if err != nil {
		return err
	}
	list := new(faker.List)
	_, hosts, err := s.serve(list.Handler())
	if err != nil {
		return err
	}
	if err := s.startUpstreams(); err != nil {
		return err
	}
	return s.startEntries(entries, log, hosts, list)
}

func (s *demoSystem) startUpstreams() error {
	p := s.deployment.patch(func(string, string) netip.AddrPort { return netip.AddrPort{} })
	for _, op := range p.Operations {
		svc := op.(patcher.PutService).Service
		for _, up := range svc.Upstreams {
			u := newDemoUpstream(s.deployment, svc.Name, up.Name, up.Slots)
			srv, _, err := s.serve(u)
			if err != nil {
				return err
			}
			u.server = srv
			s.upstreams = append(s.upstreams, u)
		}
	}
	return nil
}

const portsPerEntry = 3

func (s *demoSystem) startEntries(n int, log, hosts netip.AddrPort, list *faker.List) error {
	ports, err := freePorts(n * portsPerEntry)
	if err != nil {
		return err
	}
	var hostList []faker.Host
	var allSettings []*parser.Settings
	for i := range n {
		settings, err := s.settings(i, ports, log, hosts)
		if err != nil {
			return err
		}
		allSettings = append(allSettings, settings)
		hostList = append(hostList, faker.Host{Name: settings.Name, Address: settings.Peers, DataCentre: settings.DataCentre, Role: "Entry"})
	}
	list.SetHosts(hostList)
	for _, settings := range allSettings {
		en, err := newEntry(settings, zap.NewNop())
		if err != nil {
			return err
		}
		s.entries = append(s.entries, &demoEntry{entry: en})
	}
	return nil
}

// settings builds the settings file of entry i and parses it, as serve would.
func (s *demoSystem) settings(i int, ports []netip.AddrPort, log, hosts netip.AddrPort) (*parser.Settings, error) {
	var peers []string
	for j := 1; j < len(ports); j += portsPerEntry {
		peers = append(peers, ports[j].String())
	}
	own := ports[i*portsPerEntry:]
	text := fmt.Sprintf("[Entry]\nName = e%d\nDataCentre = %s\n[Listeners]\nCallers = %s\nPeers = %s\nAdministration = %s\n"+
		"[Platform]\nLog = %s\nHostList = %s\n[Peers]\nStart = %s\n",
		i+1, s.deployment.dataCentres[i%len(s.deployment.dataCentres)], own[0], own[1], own[2], log, hosts, strings.Join(peers, ", "))
	return parser.Parse("demo", []byte(text))
}

// rolloutTimeout is the time within which an accepted version must be in force at every entry.
const rolloutTimeout = 6 * time.Second

// configure submits the first patch and waits until every entry has applied it.
func (s *demoSystem) configure(ctx context.Context) error {
	p := s.deployment.patch(func(service, name string) netip.AddrPort {
		for _, u := range s.upstreams {
			if u.service == service && u.Name == name {
				return netip.MustParseAddrPort(u.server.listener.Addr().String())
			}
		}
		return netip.AddrPort{}
	})
	ctx, cancel := context.WithTimeout(ctx, 5*rolloutTimeout)
	defer cancel()
	a, err := s.submit(ctx, p)
	if err != nil {
		return err
	}
	if a.Code != classifier.OK {
		return errors.Errorf("first patch refused: %s %s", a.Code, a.Detail)
	}
	return s.waitForVersion(ctx, a.Version)
}

// submit sends a patch under a new ID to the first entry; Base must be set already.
func (s *demoSystem) submit(ctx context.Context, p patcher.Patch) (reducer.AnswerPatch, error) {
	p.ID = uuid.Must(uuid.NewV7()).String()
	p.Actor = "demo"
	return s.entries[0].driver.Submit(ctx, p)
}

// waitForVersion waits until every running entry has reached a version; it fails when the context ends.
func (s *demoSystem) waitForVersion(ctx context.Context, version uint64) error {
	for {
		lagging := 0
		for _, en := range s.running() {
			if en.configVersion() < version {
				lagging++
			}
		}
		if lagging == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Errorf("%d entries have not reached version %d", lagging, version)
		case <-time.After(versionPollInterval):
		}
	}
}

func (en *demoEntry) configVersion() (v uint64) {
	en.driver.View(func(n *reducer.Node) { v = n.Config().Version })
	return v
}

func (s *demoSystem) running() []*demoEntry {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*demoEntry
	for _, en := range s.entries {
		if !en.stopped {
			list = append(list, en)
		}
	}
	return list
}

func (s *demoSystem) markStopped(en *demoEntry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	en.stopped = true
}

func (s *demoSystem) close() {
	for _, en := range s.running() {
		en.abort()
	}
	for _, srv := range s.servers {
		srv.close()
	}
}

func (s *demoSystem) callers() []netip.AddrPort {
	var list []netip.AddrPort
	for _, en := range s.entries {
		list = append(list, en.settings.Callers)
	}
	return list
}

// runs returns how often the request with a key ran, summed over all upstreams.
func (s *demoSystem) runs(key string) (int, error) {
	n := 0
	for _, u := range s.upstreams {
		n += u.Runs(key)
	}
	return n, nil
}
