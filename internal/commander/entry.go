package commander

import (
	"context"
	"math"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"

	"github.com/azuretrestle/azuretrestle/internal/driver"
	"github.com/azuretrestle/azuretrestle/internal/reducer"
	"github.com/azuretrestle/azuretrestle/platform"
)

const (
	// answerTTL is how long callers may cache a response that lists entries. Some
	// callers cache it three times as long, and all should have a new one well before
	// a stopping entry closes its connections.
	answerTTL = 1200 * time.Millisecond
	// stopMargin is how long before the end of the platform's grace period a stopping
	// entry ends its wait for requests in progress; then the platform kills the process.
	stopMargin = 100 * time.Millisecond
	// lastResponseMargin is how long before that the requests in progress get their final
	// responses, so that callers have read them when the process ends.
	lastResponseMargin = 200 * time.Millisecond
	// bodyMemoryDivisor is the ratio of the memory limit to the memory available for bodies.
	bodyMemoryDivisor = 4
	// heapFraction is the fraction of the memory limit that is set as the soft limit
	// of the garbage collector, which runs more often near that limit.
	heapFraction = 0.6
	// settingsPollInterval is the time between two checks of the settings file, which may
	// change without a signal.
	settingsPollInterval = time.Second
	// platformGCPercent saves memory at the cost of processor time, since the platform
	// charges for memory.
	platformGCPercent = 100
)

func runEntry(e *environment, args []string) int {
	f := e.flagSet("entry", "", "Runs an entry on the platform until SIGTERM. The settings file is named by\n"+platform.SettingsVariable+"; SIGHUP reads it again.")
	path := f.String("settings", e.getenv(platform.SettingsVariable), "settings file of the platform")
	if status, ok := e.parse(f, args, 0, 0); !ok {
		return status
	}
	s, err := platform.LoadSettings(*path)
	if err != nil {
		return e.fail(err)
	}
	debug.SetGCPercent(platformGCPercent)
	debug.SetMemoryLimit(int64(float64(s.Memory) * heapFraction))
	log := newPlatformLog(e.stdout, s)
	defer log.writer.close()
	p, err := newPlatformEntry(s, log.Logger)
	if err != nil {
		log.Error("entry not started", zap.NamedError("Error", err))
		return e.fail(err)
	}
	p.driver.Register(log.collectors()...)
	if err := p.run(e.signals, *path); err != nil {
		log.Error("entry ended", zap.NamedError("Error", err))
		return ExitFailure
	}
	return ExitOK
}

// platformEntry is an entry that runs on the platform.
type platformEntry struct {
	settings *platform.Settings
	logger   *zap.Logger
	store    *platform.Store
	driver   *driver.Driver
	servers  []*server
}

func newPlatformEntry(s *platform.Settings, l *zap.Logger) (*platformEntry, error) {
	p := &platformEntry{settings: s, logger: l, store: platform.NewStore(s.Store)}
	callers, err := listen(s.Callers)
	if err != nil {
		return nil, err
	}
	peers, err := listen(s.Peers)
	if err != nil {
		_ = callers.Close()
		return nil, err
	}
	p.driver = driver.New(p.options(), nil, nil,
		driver.WithLogger(l), driver.WithPeers(peers, nil), driver.WithHeaderCodec(platform.HeaderCodec{}),
		driver.WithStore(p.store), driver.WithBodyMemory(s.Memory/bodyMemoryDivisor))
	if err := p.openListeners(); err != nil {
		p.driver.Close()
		_ = callers.Close()
		return nil, err
	}
	p.driver.Start()
	p.driver.ServeRoutes(callers)
	for _, srv := range p.servers {
		srv.start()
	}
	l.Info("entry started", zap.String("DataCentre", s.DataCentre), zap.Stringer("Callers", s.Callers), zap.Stringer("Store", s.Store))
	return p, nil
}

func (p *platformEntry) options() reducer.Options {
	s := p.settings
	m := managedOptions(s)
	return reducer.Options{
		Name: s.Name, Incarnation: newIncarnation(time.Now()), PeerAddress: s.Peers, Peers: s.Seeds,
		CallerAddress: s.Callers, DataCentre: s.DataCentre, Seed: rand.Uint64(),
		Managed: &m,
	}
}

// managedOptions returns the limits of the settings; MaxAnswer can only shorten answerTTL.
func managedOptions(s *platform.Settings) reducer.Managed {
	ttl := answerTTL
	if s.MaxAnswer > 0 {
		ttl = min(ttl, s.MaxAnswer)
	}
	return reducer.Managed{AnswerPeriod: ttl, RepeatRatio: s.RepeatRatio, RepeatSlack: s.RepeatSlack, ProbeRate: s.ProbeRate}
}

// openListeners opens the listeners for readiness, the directory and metrics.
func (p *platformEntry) openListeners() error {
	s := p.settings
	metrics := http.NewServeMux()
	metrics.Handle("GET /metrics", promhttp.HandlerFor(p.driver.Gatherer(), promhttp.HandlerOpts{}))
	for _, l := range []struct {
		address netip.AddrPort
		handler http.Handler
	}{
		{s.Readiness, platform.ReadyHandler(p.driver)},
		{s.Directory, platform.DirectoryHandler(p.driver)},
		{s.Metrics, metrics},
	} {
		if !l.address.IsValid() {
			continue
		}
		srv, err := newServer(l.address, l.handler, nil, p.logger)
		if err != nil {
			return err
		}
		p.servers = append(p.servers, srv)
	}
	return nil
}

// run waits for a stop signal and then stops the entry within the platform's grace period.
// It reloads the settings on SIGHUP and when their file changes.
func (p *platformEntry) run(signals <-chan os.Signal, path string) error {
	poll := time.NewTicker(settingsPollInterval)
	defer poll.Stop()
	lastState := statFile(path)
	for {
		select {
		case <-poll.C:
			if now := statFile(path); now != lastState {
				lastState = now
				p.reload(path)
			}
		case sig := <-signals:
			if sig == syscall.SIGHUP {
				lastState = statFile(path)
				p.reload(path)
				continue
			}
			p.logger.Info("planned stop began", zap.Stringer("Signal", sig))
			return p.stop()
		case <-p.driver.Done():
			return errDriverEnded
		}
	}
}

// fileState identifies a version of a file by its modification time and size.
type fileState struct {
	modified time.Time
	size     int64
}

// statFile returns the state of a file, or the zero value if the file cannot be read.
func statFile(path string) fileState {
	info, err := os.Stat(path)
	if err != nil {
		return fileState{}
	}
	return fileState{info.ModTime(), info.Size()}
}

// reload reads the settings again. Limits, the grace period and the store's address take
// effect at once; other addresses and names take effect at the next start.
func (p *platformEntry) reload(path string) {
	s, err := platform.LoadSettings(path)
	if err != nil {
		p.logger.Error("settings not reloaded, the previous ones stay in force", zap.NamedError("Error", err))
		return
	}
	p.driver.SetManaged(managedOptions(s))
	p.store.SetAddress(s.Store)
	p.settings.Grace = s.Grace
	p.logger.Info("settings reloaded", zap.Stringer("Store", s.Store), zap.Duration("Grace", s.Grace),
		zap.Float64("RepeatRatio", s.RepeatRatio), zap.Float64("RepeatSlack", s.RepeatSlack), zap.Float64("ProbeRate", s.ProbeRate))
}

func (p *platformEntry) stop() error {
	timeout := p.settings.Grace - stopMargin
	deadline := time.Now().Add(timeout - lastResponseMargin)
	if timeout <= 0 {
		timeout = math.MaxInt64
		deadline = time.Time{}
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	p.driver.StopBy(deadline)
	select {
	case <-p.driver.Done():
		p.logger.Info("entry stopped")
	case <-ctx.Done():
		p.logger.Warn("requests were still in progress at the end of the grace period")
	}
	p.store.Close()
	return nil
}
