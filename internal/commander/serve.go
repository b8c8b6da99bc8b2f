package commander

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/azuretrestle/azuretrestle/internal/administrator"
	"github.com/azuretrestle/azuretrestle/internal/driver"
	"github.com/azuretrestle/azuretrestle/internal/parser"
	"github.com/azuretrestle/azuretrestle/internal/recorder"
	"github.com/azuretrestle/azuretrestle/internal/reducer"
)

// errSecondSignal ends the process at once.
var errSecondSignal = errors.New("stopped by a second signal, requests in progress were abandoned")

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
	callers  *server
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
	en := &entry{settings: s, logger: l, platform: recorder.NewClient(s.Log, s.HostList)}
	en.driver = driver.New(reducer.Options{
		Name: s.Name, Incarnation: newIncarnation(time.Now()), PeerAddress: s.Peers,
		CallerAddress: s.Callers, DataCentre: s.DataCentre, Seed: rand.Uint64(),
	}, en.platform, en.platform, driver.WithLogger(l))
	if err := en.listen(); err != nil {
		return nil, err
	}
	en.driver.Start()
	en.callers.start()
	en.admin.start()
	l.Info("Entry started", zap.String("Name", s.Name), zap.Stringer("Callers", s.Callers), zap.Stringer("Administration", s.Administration))
	return en, nil
}

func (en *entry) listen() error {
	s := en.settings
	config, err := en.adminTLS()
	if err != nil {
		return err
	}
	en.callers, err = newServer(s.Callers, en.driver.Handler(), nil, en.logger)
	if err != nil {
		return err
	}
	en.callers.limit(s.Limits)
	en.admin, err = newServer(s.Administration, en.administration(), config, en.logger)
	if err != nil {
		en.callers.close()
		return err
	}
	en.admin.http.ReadTimeout = adminPatience
	en.admin.http.IdleTimeout = s.Limits.Idle
	return nil
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
		administrator.WithLimits(en.settings.Limits.PatchBody, en.settings.Limits.PatchPatience),
	)
}

// run waits for a signal or for a listener that fails.
func (en *entry) run(signals <-chan os.Signal) error {
	select {
	case sig := <-signals:
		en.logger.Info("Planned stop began", zap.Stringer("Signal", sig))
		return en.stop(signals)
	case err := <-en.callers.failed:
		return err
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
			en.logger.Info("Entry stopped")
		}
		return err
	}
}

func (en *entry) drain(ctx context.Context) error {
	err := en.callers.http.Shutdown(ctx)
	if err != nil {
		return errors.Wrap(err, "requests were still in progress at the end of StopPatience")
	}
	en.driver.Close()
	en.platform.Close()
	return en.admin.http.Shutdown(ctx)
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
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", a.String())
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

func (s *server) limit(l parser.Limits) {
	s.http.MaxHeaderBytes = l.Header
	s.http.ReadHeaderTimeout = l.HeaderPatience
	s.http.IdleTimeout = l.Idle
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

// abandon ends an entry at once, as if its process were killed.
func (en *entry) abandon() {
	en.callers.close()
	en.admin.close()
	en.driver.Close()
	en.platform.Close()
}
