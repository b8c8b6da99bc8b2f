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

var errDriverEnded = errors.New("the driver ended by itself")

// errSecondSignal ends the process at once.
var errSecondSignal = errors.New("stopped by a second signal, requests in progress were abandoned")

// collectorPercent lets the heap of an entry, which is a few MB, grow to five
// times its live part. With the default of 100 collections run often enough to
// add more than the target of 0.42 ms to a call at p99.
const collectorPercent = 400

// tuneCollector leaves the collector alone if the operator set GOGC.
func tuneCollector(getenv func(string) string) {
	if getenv("GOGC") == "" {
		debug.SetGCPercent(collectorPercent)
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
	tuneCollector(e.getenv)
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

// entry is one running entry with its listeners.
type entry struct {
	settings *parser.Settings
	logger   *zap.Logger
	platform *recorder.Client
	driver   *driver.Driver
	admin    *server
}

// incarnationBits is the width of the random part, which tells two starts within one millisecond apart.
const incarnationBits = 20

func newIncarnation(now time.Time) uint64 {
	return uint64(now.UnixMilli())<<incarnationBits | rand.Uint64N(1<<incarnationBits)
}

// newEntry opens all listeners before it starts the node, so that a taken
// address is seen before other entries hear of this one.
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

// prepare makes the driver and the administration listener.
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
	en.admin.http.ReadTimeout = adminPatience
	en.admin.http.IdleTimeout = s.Limits.Idle
	return nil
}

// peerTLS returns nil if peers talk over plain TCP.
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

// run waits for a signal or for a listener that fails.
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

// stop completes the requests in progress, unless a second signal or the
// patience of the settings ends it.
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

// drain begins a planned stop and waits for its end.
func (en *entry) drain(ctx context.Context) error {
	en.driver.Stop()
	select {
	case <-en.driver.Done():
	case <-ctx.Done():
		en.abandon()
		return errors.New("requests were still in progress at the end of StopPatience")
	}
	en.platform.Close()
	return en.admin.http.Shutdown(ctx)
}

// abandon ends an entry at once, as if its process were killed.
func (en *entry) abandon() {
	en.admin.close()
	en.driver.Close()
	en.platform.Close()
}

func listen(a netip.AddrPort) (net.Listener, error) {
	return (&net.ListenConfig{}).Listen(context.Background(), "tcp", a.String())
}

// server is one HTTP listener.
type server struct {
	http     *http.Server
	listener net.Listener
	failed   chan error
}

const (
	headerPatience = 5 * time.Second
	// adminPatience bounds the time an operator's request takes to arrive.
	adminPatience = 30 * time.Second
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
	s.http = &http.Server{Handler: h, ReadHeaderTimeout: headerPatience, ErrorLog: zap.NewStdLog(l)}
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
