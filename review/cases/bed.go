package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/azuretrestle/azuretrestle/platform"
	"github.com/azuretrestle/azuretrestle/platform/faker"
)

// Bounds of the deployment, as in the site file kfmia-gw.
const (
	contact     = 3 * time.Second
	configApply = 2 * time.Second
	grace       = 6 * time.Second
	entryCount  = 3
	entryMemory = 544 << 20
	heartbeat   = 1500 * time.Millisecond
	readyWait   = 15 * time.Second
	// slowRun is the additional time of a slow run.
	slowRun = 100 * time.Millisecond
)

// bed is a small deployment: a store, servers and entries.
type bed struct {
	program string
	dir     string
	store   faker.Store
	address netip.AddrPort
	entries []*entry
	servers []*faker.Server

	mu      sync.Mutex
	record  *bufio.Writer
	file    *os.File
	began   time.Time
	closers []func()
}

// entry is an entry that runs as a separate process.
type entry struct {
	settings *platform.Settings
	command  *exec.Cmd
	log      *os.File
	exited   chan struct{}
}

func newBed(ctx context.Context, program, record string) (*bed, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	b := &bed{program: program, dir: dir, file: f, record: bufio.NewWriter(f), began: time.Now()}
	b.address, err = b.serve(ctx, &b.store)
	if err != nil {
		b.close()
		return nil, err
	}
	return b, nil
}

// note writes a line with the time since the start to the record.
func (b *bed) note(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, _ = fmt.Fprintf(b.record, "%9.3f  %s\n", time.Since(b.began).Seconds(), fmt.Sprintf(format, args...))
}

// serve serves a handler on a free loopback port.
func (b *bed) serve(ctx context.Context, h http.Handler) (netip.AddrPort, error) {
	var config net.ListenConfig
	lis, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute, MaxHeaderBytes: 1 << 20}
	go func() { _ = srv.Serve(lis) }()
	b.closers = append(b.closers, func() { _ = srv.Close() })
	return netip.ParseAddrPort(lis.Addr().String())
}

// addServer starts a server of a service and registers it in the store. Each slowEvery-th
// run takes slowRun longer, as on a machine that the server shares with others; 0 means none.
func (b *bed) addServer(ctx context.Context, id, service string, work time.Duration, slowEvery int64) error {
	var runs atomic.Int64
	s := &faker.Server{ID: id, Service: service, Zone: "a", Slots: 6, Work: work, OnRun: func(r faker.Run) {
		b.note("server %s runs %s %s, %d bytes, as request %s", r.Server, r.Method, r.Target, r.Body, r.ID)
		if n := runs.Add(1); slowEvery > 0 && n%slowEvery == 0 {
			time.Sleep(slowRun)
		}
	}}
	a, err := b.serve(ctx, s)
	if err != nil {
		return err
	}
	s.Address = a
	b.servers = append(b.servers, s)
	b.store.Put(faker.TopicServers, id, s.Registration("ready", 1))
	go b.beat(ctx, s)
	return nil
}

// beat renews the registration of a server until the context ends.
func (b *bed) beat(ctx context.Context, s *faker.Server) {
	for sequence := 2; ctx.Err() == nil; sequence++ {
		pause(ctx, heartbeat)
		b.store.Put(faker.TopicServers, s.ID, s.Registration("ready", sequence))
	}
}

// runs returns how often servers executed a request.
func (b *bed) runs(id string) int {
	count := 0
	for _, s := range b.servers {
		count += s.Runs(id)
	}
	return count
}

// Ports of an entry, below the range from which the system takes free ones.
const (
	portCallers   = 8381
	portPeers     = 8382
	portDirectory = 8383
	portReadiness = 8388
	portMetrics   = 7200
)

// entryAddress returns a loopback address of an entry. The network differs by process, so
// that runs at the same time don't collide.
func entryAddress(i, port int) netip.AddrPort {
	const first, networks, perNetwork = 64, 128, 256
	id := os.Getpid()
	ip := netip.AddrFrom4([4]byte{127, byte(first + id/perNetwork%networks), byte(id % perNetwork), byte(i + 1)})
	return netip.AddrPortFrom(ip, uint16(port))
}

// startEntries starts the entries and waits until all are ready.
func (b *bed) startEntries(ctx context.Context) error {
	for i := range entryCount {
		s := &platform.Settings{
			Name: fmt.Sprintf("edge-a-%d", i+1), DataCentre: "a",
			Callers: entryAddress(i, portCallers), Peers: entryAddress(i, portPeers), Readiness: entryAddress(i, portReadiness),
			Directory: entryAddress(i, portDirectory), Metrics: entryAddress(i, portMetrics),
			Seeds: []netip.AddrPort{entryAddress(0, portPeers)}, Store: b.address, Memory: entryMemory, Grace: grace, MaxAnswer: 5 * time.Second,
			RepeatRatio: 0.2, RepeatSlack: 56, ProbeRate: 60,
		}
		e := &entry{settings: s}
		b.entries = append(b.entries, e)
		if err := b.startEntry(e); err != nil {
			return err
		}
	}
	for _, e := range b.entries {
		if err := e.awaitReady(ctx); err != nil {
			return err
		}
		b.note("%s is ready", e.settings.Name)
	}
	return nil
}

// startEntry writes the settings file of an entry and starts its process.
func (b *bed) startEntry(e *entry) error {
	text, err := faker.SettingsFile(e.settings)
	if err != nil {
		return err
	}
	path := filepath.Join(b.dir, e.settings.Name+".toml")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	if e.log == nil {
		if e.log, err = os.Create(filepath.Join(b.dir, e.settings.Name+".log")); err != nil {
			return err
		}
	}
	c := exec.Command(b.program, "entry") //nolint:noctx // close ends the process.
	c.Env = append(os.Environ(), platform.SettingsVariable+"="+path)
	c.Stdout, c.Stderr = e.log, e.log
	if err := c.Start(); err != nil {
		return err
	}
	e.command, e.exited = c, make(chan struct{})
	go func(exited chan struct{}) {
		defer close(exited)
		_ = c.Wait()
	}(e.exited)
	return nil
}

func (e *entry) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyWait)
	defer cancel()
	for !faker.Ready(ctx, http.DefaultClient, e.settings.Readiness) {
		select {
		case <-ctx.Done():
			return errors.Errorf("%s did not become ready", e.settings.Name)
		case <-time.After(20 * time.Millisecond):
		}
	}
	return nil
}

// pause waits for a duration or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// close ends all processes and removes the temporary folder.
func (b *bed) close() {
	for _, e := range b.entries {
		if e.command == nil {
			continue
		}
		_ = e.command.Process.Kill()
		<-e.exited
		_ = e.log.Close()
	}
	for _, f := range b.closers {
		f()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	_ = b.record.Flush()
	_ = b.file.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(b.dir)
	}
}
