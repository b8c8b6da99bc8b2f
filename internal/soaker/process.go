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
	// restartPause is the shortest time between the end of a process and its next start.
	restartPause = 100 * time.Millisecond
	// readyPoll is the time between two questions whether an entry is ready.
	readyPoll = 20 * time.Millisecond
	// readyPatience is how long an entry may take to become ready while nothing disturbs it.
	readyPatience = 10 * time.Second
	// exitMargin is added to the grace, since this process may see an end late.
	exitMargin = 500 * time.Millisecond
)

// process is an entry that runs as a process of its own, and is started again when it ends.
type process struct {
	number   int
	settings *platform.Settings
	program  string
	file     string
	log      *os.File
	recorder *recorder
	client   *http.Client
	ctx      context.Context

	// mu is held while the process is started or ended.
	mu      sync.Mutex
	command *exec.Cmd
	// ended is closed once the process has ended, with its result in err.
	ended chan struct{}
	err   error
	// told is set once the process was told to end.
	told   bool
	paused bool
	closed bool
	work   sync.WaitGroup
}

// newProcess writes the settings of an entry into a folder, where its log goes too.
func newProcess(ctx context.Context, number int, s *platform.Settings, program, folder string, r *recorder) (*process, error) {
	b, err := faker.SettingsFile(s)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	p := &process{number: number, settings: s, program: program, recorder: r, client: &http.Client{Transport: &http.Transport{}}, ctx: ctx}
	p.file = filepath.Join(folder, s.Name+".toml")
	if err := os.WriteFile(p.file, b, 0o600); err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	p.log, err = os.Create(filepath.Join(folder, s.Name+".log"))
	return p, errors.Wrap(err, "log")
}

// start runs the program; the entry counts as disturbed until it is ready.
func (p *process) start(planned bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.startLocked(planned)
}

func (p *process) startLocked(planned bool) error {
	if p.closed {
		return nil
	}
	c := exec.Command(p.program, "entry", "-settings", p.file) //nolint:noctx // The process is ended by its own functions.
	c.Stdout = p.log
	c.Stderr = p.log
	end := p.recorder.disturb(Disturbance{Entry: p.number, Planned: planned, Cause: "start"})
	if err := c.Start(); err != nil {
		return errors.Wrap(err, "entry not started")
	}
	ended := make(chan struct{})
	p.command, p.ended, p.told, p.paused = c, ended, false, false
	p.work.Go(func() { p.watch(c, ended) })
	p.work.Go(func() {
		defer end()
		p.awaitReady(ended)
	})
	return nil
}

// watch waits for the end of the process and starts the next one if it ended by itself.
func (p *process) watch(c *exec.Cmd, ended chan struct{}) {
	err := c.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.err = err
	close(ended)
	if p.told || p.closed {
		return
	}
	p.recorder.exit(p.number, fmt.Sprintf("the process ended by itself: %s", c.ProcessState))
	if err := p.startLocked(false); err != nil {
		p.recorder.exit(p.number, err.Error())
	}
}

func (p *process) awaitReady(ended <-chan struct{}) {
	ctx, cancel := context.WithTimeout(p.ctx, readyPatience)
	defer cancel()
	for !faker.Ready(ctx, p.client, p.settings.Readiness) {
		select {
		case <-ended:
			return
		case <-ctx.Done():
			return
		case <-time.After(readyPoll):
		}
	}
}

// ending is a process that was told to end.
type ending struct {
	process *os.Process
	done    <-chan struct{}
	paused  bool
	// over ends the disturbance.
	over func()
}

// tell sends a signal that ends the process; it reports false if it is ending already.
func (p *process) tell(sig syscall.Signal, d Disturbance) (e ending, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.told || p.closed {
		return ending{}, false
	}
	p.told = true
	d.Entry = p.number
	e = ending{process: p.command.Process, done: p.ended, paused: p.paused, over: p.recorder.disturb(d)}
	_ = e.process.Signal(sig)
	return e, true
}

// stop ends the process as planned and starts it again.
func (p *process) stop(random *rand.Rand) {
	e, ok := p.tell(syscall.SIGTERM, Disturbance{Planned: true, Cause: "planned stop"})
	if !ok {
		return
	}
	defer e.over()
	select {
	case <-e.done:
		if p.err != nil && !e.paused {
			p.recorder.exit(p.number, "a planned stop ended with "+p.err.Error())
		}
	case <-p.ctx.Done():
		return
	case <-time.After(graceBound + exitMargin):
		if !e.paused {
			p.recorder.exit(p.number, "a planned stop did not end within the grace")
		}
		_ = e.process.Kill()
		<-e.done
	}
	p.again(random, true)
}

// kill ends the process at once and starts it again.
func (p *process) kill(random *rand.Rand) {
	e, ok := p.tell(syscall.SIGKILL, Disturbance{Cause: "kill"})
	if !ok {
		return
	}
	defer e.over()
	<-e.done
	p.again(random, false)
}

func (p *process) again(random *rand.Rand, planned bool) {
	select {
	case <-time.After(restartPause + time.Duration(random.Int64N(int64(4*restartPause)))):
	case <-p.ctx.Done():
		return
	}
	if err := p.start(planned); err != nil {
		p.recorder.exit(p.number, err.Error())
	}
}

// pause stops the process until the function that it returns is called.
func (p *process) pause() (resume func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.told || p.closed || p.paused {
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
		case <-p.ended:
		default:
			_ = c.Process.Signal(syscall.SIGCONT)
		}
	}
}

// reload tells the process that its settings have changed.
func (p *process) reload() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.told || p.closed {
		return
	}
	end := p.recorder.disturb(Disturbance{Entry: p.number, Planned: true, Cause: "reload"})
	_ = p.command.Process.Signal(syscall.SIGHUP)
	end()
}

// close ends the process for good.
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
