package commander

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"runtime/debug"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/azuretrestle/azuretrestle/internal/administrator"
	"github.com/azuretrestle/azuretrestle/internal/driver"
	"github.com/azuretrestle/azuretrestle/internal/messenger"
	"github.com/azuretrestle/azuretrestle/internal/parser"
	"github.com/azuretrestle/azuretrestle/internal/recorder"
	"github.com/azuretrestle/azuretrestle/internal/reducer"
)

var errDriverEnded = errors.New("the driver ended without a request to stop")

// errSecondSignal reports a planned stop that a second signal cut short.
var errSecondSignal = errors.New("stopped by a second signal, requests in progress were abandoned")

// gcPercent lets the heap of an entry, which is a few MB, grow to five times its live
// size. With the default of 100, collections run so often that an entry adds more than
// the target of 0.42 ms to the p99 latency of a call.
const gcPercent = 400

// setGCPercent leaves the garbage collector unchanged if the operator set GOGC.
func setGCPercent(getenv func(string) string) {
	if getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
}

func serve(e *environment, args []string) int {
	f := e.flagSet("serve", "<settings file>", "Runs an entry until SIGTERM or interrupt. The first signal begins a planned stop that\n"+
		"completes the requests in progress; a second one ends the process at once.")
	if status, ok := e.parse(f, args, 1, 1); !ok {
		return status
	}
	s, err := parser.Load(f.Arg(0))
	if err != nil {
		return e.fail(err)
	}
	setGCPercent(e.getenv)
	logger := e.logger(s)
	defer func() { _ = logger.Sync() }()
	en, err := newEntry(s, logger)
	if err != nil {
		return e.fail(err)
	}
	if err := en.run(e.signals); err != nil {
		return e.fail(err)
	}
	return ExitOK
}

// entry is a running entry with its listeners.
type entry struct {
	settings *parser.Settings
	logger   *zap.Logger
	platform *recorder.Client
	driver   *driver.Driver
	admin    *server
}

// incarnationBits is the width of the random part of an incarnation, which distinguishes
// two starts within one millisecond.
const incarnationBits = 20

func newIncarnation(now time.Time) uint64 {
	return uint64(now.UnixMilli())<<incarnationBits | rand.Uint64N(1<<incarnationBits)
}

// newEntry opens all listeners before it starts the node, so that an address in use is
// detected before other entries learn of this one.
func newEntry(s *parser.Settings, l *zap.Logger) (*entry, error) {
	en := &entry{settings: s, logger: l}
	callers, err := listen(s.Callers)
	if err != nil {
		return nil, err
	}
	peers, err := listen(s.Peers)
	if err != nil {
		_ = callers.Close()
		return nil, err
	}
	if err := en.prepare(peers); err != nil {
		_ = callers.Close()
		_ = peers.Close()
		return nil, err
	}
	en.driver.Start()
	en.driver.Serve(callers)
	en.admin.start()
	l.Info("entry started", zap.String("DataCentre", s.DataCentre), zap.Stringer("Callers", s.Callers), zap.Stringer("Peers", s.Peers), zap.Stringer("Administration", s.Administration))
	return en, nil
}

// prepare creates the driver and the administration server.
func (en *entry) prepare(peers net.Listener) error {
	s := en.settings
	certificates, err := en.peerTLS()
	if err != nil {
		return err
	}
	config, err := en.adminTLS()
	if err != nil {
		return err
	}
	en.platform = recorder.NewClient(s.Log, s.HostList)
	en.driver = driver.New(reducer.Options{
		Name: s.Name, Incarnation: newIncarnation(time.Now()), PeerAddress: s.Peers, Peers: s.Start,
		CallerAddress: s.Callers, DataCentre: s.DataCentre, Seed: rand.Uint64(), LogRetention: s.LogRetention,
	}, en.platform, en.platform,
		driver.WithLogger(en.logger),
		driver.WithPeers(peers, certificates),
		driver.WithLimits(driver.Limits{Header: s.Limits.Header, HeaderPatience: s.Limits.HeaderPatience, Idle: s.Limits.Idle}),
	)
	en.admin, err = newServer(s.Administration, en.administration(), config, en.logger)
	if err != nil {
		return err
	}
	en.admin.http.ReadTimeout = adminReadTimeout
	en.admin.http.IdleTimeout = s.Limits.Idle
	return nil
}

// peerTLS returns nil if peers connect over plain TCP.
func (en *entry) peerTLS() (*messenger.Certificates, error) {
	t := en.settings.PeerTLS
	if !t.Enabled() {
		return nil, nil
	}
	return messenger.LoadCertificates(messenger.Files{Certificate: t.Certificate, Key: t.Key, Authority: t.Authority}, en.logger)
}

func (en *entry) adminTLS() (*tls.Config, error) {
	t := en.settings.AdminTLS
	if !t.Enabled() {
		return nil, nil
	}
	c, err := administrator.NewCertificate(t.Certificate, t.Key, en.logger)
	if err != nil {
		return nil, err
	}
	return c.Config(), nil
}

func (en *entry) administration() http.Handler {
	var operators []administrator.Operator
	for _, o := range en.settings.Operators {
		operators = append(operators, administrator.Operator(o))
	}
	return administrator.New(en.driver,
		administrator.WithOperators(operators),
		administrator.WithLogger(en.logger),
		administrator.WithGatherer(en.driver.Gatherer()),
		administrator.WithHealth(en.driver.HealthHandler()),
		administrator.WithLimits(en.settings.Limits.PatchBody, en.settings.Limits.PatchPatience),
	)
}

// run waits for a signal, which begins a planned stop, or for a failure of the driver or
// of the administration server.
func (en *entry) run(signals <-chan os.Signal) error {
	select {
	case sig := <-signals:
		en.logger.Info("planned stop began", zap.Stringer("Signal", sig))
		return en.stop(signals)
	case <-en.driver.Done():
		return errDriverEnded
	case err := <-en.admin.failed:
		return err
	}
}

// stop completes the requests in progress, unless a second signal arrives or StopPatience
// of the settings passes first.
func (en *entry) stop(signals <-chan os.Signal) error {
	ctx, cancel := context.WithTimeout(context.Background(), en.settings.Limits.StopPatience)
	defer cancel()
	drained := make(chan error, 1)
	go func() { drained <- en.drain(ctx) }()
	select {
	case <-signals:
		return errSecondSignal
	case err := <-drained:
		if err == nil {
			en.logger.Info("entry stopped")
		}
		return err
	}
}

// drain begins a planned stop and waits for its end; it aborts the entry when ctx ends.
func (en *entry) drain(ctx context.Context) error {
	en.driver.Stop()
	select {
	case <-en.driver.Done():
	case <-ctx.Done():
		en.abort()
		return errors.New("requests were still in progress at the end of StopPatience")
	}
	en.platform.Close()
	return en.admin.http.Shutdown(ctx)
}

// abort ends an entry at once, as if its process were killed.
func (en *entry) abort() {
	en.admin.close()
	en.driver.Close()
	en.platform.Close()
}

func listen(a netip.AddrPort) (net.Listener, error) {
	return (&net.ListenConfig{}).Listen(context.Background(), "tcp", a.String())
}

// server is an HTTP server with its listener.
type server struct {
	http     *http.Server
	listener net.Listener
	failed   chan error
}

const (
	headerTimeout = 5 * time.Second
	// adminReadTimeout is the timeout for reading an operator's whole request.
	adminReadTimeout = 30 * time.Second
)

func newServer(a netip.AddrPort, h http.Handler, t *tls.Config, l *zap.Logger) (*server, error) {
	listener, err := listen(a)
	if err != nil {
		return nil, err
	}
	if t != nil {
		listener = tls.NewListener(listener, t)
	}
	s := &server{listener: listener, failed: make(chan error, 1)}
	s.http = &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, ErrorLog: zap.NewStdLog(l)}
	return s, nil
}

func (s *server) start() {
	go func() {
		if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
			s.failed <- err
		}
	}()
}

func (s *server) close() {
	_ = s.listener.Close()
	_ = s.http.Close()
}
