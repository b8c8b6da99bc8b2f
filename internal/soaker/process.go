package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/azuretrestle/azuretrestle/platform"
	"github.com/azuretrestle/azuretrestle/platform/faker"
)

const (
	// minRestartDelay is the shortest time between the end of a process and its restart.
	minRestartDelay = 100 * time.Millisecond
	// readyPollInterval is the time between two readiness checks of a starting entry.
	readyPollInterval = 20 * time.Millisecond
	// readyTimeout is the time after which a starting entry no longer counts as disturbed even if it isn't ready.
	readyTimeout = 10 * time.Second
	// exitMargin is added to the grace period, since this process may notice the exit late.
	exitMargin = 500 * time.Millisecond
)

// process is an entry that runs as a separate process and is restarted when it exits.
type process struct {
	number       int
	settings     *platform.Settings
	program      string
	settingsFile string
	log          *os.File
	recorder     *recorder
	client       *http.Client
	ctx          context.Context

	// mu is held while the process is started or signalled.
	mu      sync.Mutex
	command *exec.Cmd
	// exited is closed once the process has exited and err holds the result of Wait.
	exited chan struct{}
	err    error
	// terminating is set once a signal that ends the process was sent.
	terminating bool
	paused      bool
	closed      bool
	// startUsage is the usage of the process when it became ready.
	startUsage Usage
	work       sync.WaitGroup
}

// newProcess writes the settings of an entry into a folder and creates its log file there.
func newProcess(ctx context.Context, number int, s *platform.Settings, program, folder string, r *recorder) (*process, error) {
	b, err := faker.SettingsFile(s)
	if err != nil {
		return nil, errors.Wrap(err, "settings not encoded")
	}
	p := &process{number: number, settings: s, program: program, recorder: r, client: &http.Client{Transport: &http.Transport{}}, ctx: ctx}
	p.settingsFile = filepath.Join(folder, s.Name+".toml")
	if err := os.WriteFile(p.settingsFile, b, 0o600); err != nil {
		return nil, errors.Wrap(err, "settings file not written")
	}
	p.log, err = os.Create(filepath.Join(folder, s.Name+".log"))
	return p, errors.Wrap(err, "log file not created")
}

// start starts the program; the entry counts as disturbed until it is ready.
func (p *process) start(planned bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.startLocked(planned)
}

// startLocked is start for a caller that holds p.mu.
func (p *process) startLocked(planned bool) error {
	if p.closed {
		return nil
	}
	c := exec.Command(p.program, "entry", "-settings", p.settingsFile) //nolint:noctx // stop, kill and close end the process.
	c.Stdout = p.log
	c.Stderr = p.log
	end := p.recorder.disturb(Disturbance{Entry: p.number, Planned: planned, Cause: "start"})
	if err := c.Start(); err != nil {
		return errors.Wrap(err, "process not started")
	}
	exited := make(chan struct{})
	p.command, p.exited, p.terminating, p.paused = c, exited, false, false
	p.work.Go(func() { p.watch(c, exited) })
	p.work.Go(func() {
		defer end()
		p.awaitReady(exited)
	})
	return nil
}

// watch waits for the process to exit and restarts it if the exit was unexpected.
func (p *process) watch(c *exec.Cmd, exited chan struct{}) {
	err := c.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.err = err
	close(exited)
	if p.terminating || p.closed {
		return
	}
	p.recorder.exit(p.number, fmt.Sprintf("process exited unexpectedly: %s", c.ProcessState))
	if err := p.startLocked(false); err != nil {
		p.recorder.exit(p.number, err.Error())
	}
}

// awaitReady waits until the entry is ready or its process exits, for at most readyTimeout.
func (p *process) awaitReady(exited <-chan struct{}) {
	ctx, cancel := context.WithTimeout(p.ctx, readyTimeout)
	defer cancel()
	for !faker.Ready(ctx, p.client, p.settings.Readiness) {
		select {
		case <-exited:
			return
		case <-ctx.Done():
			return
		case <-time.After(readyPollInterval):
		}
	}
	p.recordStartUsage()
}

// termination describes a process to which a signal that ends it was sent.
type termination struct {
	process *os.Process
	exited  <-chan struct{}
	paused  bool
	// endDisturbance marks the end of the disturbance in the trace.
	endDisturbance func()
}

// terminate sends a signal that ends the process; it reports false if one was sent already.
func (p *process) terminate(sig syscall.Signal, d Disturbance) (t termination, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.terminating || p.closed {
		return termination{}, false
	}
	p.terminating = true
	d.Entry = p.number
	t = termination{process: p.command.Process, exited: p.exited, paused: p.paused, endDisturbance: p.recorder.disturb(d)}
	_ = t.process.Signal(sig)
	return t, true
}

// stop makes a planned stop of the process and restarts it.
func (p *process) stop(random *rand.Rand) {
	t, ok := p.terminate(syscall.SIGTERM, Disturbance{Planned: true, Cause: "planned stop"})
	if !ok {
		return
	}
	defer t.endDisturbance()
	select {
	case <-t.exited:
		if p.err != nil && !t.paused {
			p.recorder.exit(p.number, "planned stop exited with an error: "+p.err.Error())
		}
	case <-p.ctx.Done():
		return
	case <-time.After(graceBound + exitMargin):
		if !t.paused {
			p.recorder.exit(p.number, "planned stop did not finish within the grace period")
		}
		_ = t.process.Kill()
		<-t.exited
	}
	p.restart(random, true)
}

// kill kills the process and restarts it.
func (p *process) kill(random *rand.Rand) {
	t, ok := p.terminate(syscall.SIGKILL, Disturbance{Cause: "kill"})
	if !ok {
		return
	}
	defer t.endDisturbance()
	<-t.exited
	p.restart(random, false)
}

// restart starts the process again after a random delay of at least minRestartDelay.
func (p *process) restart(random *rand.Rand, planned bool) {
	select {
	case <-time.After(minRestartDelay + time.Duration(random.Int64N(int64(4*minRestartDelay)))):
	case <-p.ctx.Done():
		return
	}
	if err := p.start(planned); err != nil {
		p.recorder.exit(p.number, err.Error())
	}
}

// pause suspends the process until the returned function is called.
func (p *process) pause() (resume func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.terminating || p.closed || p.paused {
		return func() {}
	}
	p.paused = true
	c := p.command
	end := p.recorder.disturb(Disturbance{Entry: p.number, Cause: "pause"})
	_ = c.Process.Signal(syscall.SIGSTOP)
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		defer end()
		if p.command == c {
			p.paused = false
		}
		select {
		case <-p.exited:
		default:
			_ = c.Process.Signal(syscall.SIGCONT)
		}
	}
}

// reload makes the process reload its settings.
func (p *process) reload() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.terminating || p.closed {
		return
	}
	end := p.recorder.disturb(Disturbance{Entry: p.number, Planned: true, Cause: "reload"})
	_ = p.command.Process.Signal(syscall.SIGHUP)
	end()
}

// close kills the process without a restart and releases its resources.
func (p *process) close() {
	p.mu.Lock()
	p.closed = true
	if p.command != nil {
		_ = p.command.Process.Kill()
	}
	p.mu.Unlock()
	p.work.Wait()
	p.client.CloseIdleConnections()
	_ = p.log.Close()
}
