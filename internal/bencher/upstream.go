package bencher

import (
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/azuretrestle/azuretrestle/internal/balancer"
	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

// Parameters of the service time: lognormal work, rare stalls with a Pareto tail,
// and noisy neighbours that slow down a whole upstream for some milliseconds.
const (
	workSigma         = 0.5
	stallShare        = 0.02
	stallMin          = 10 * time.Millisecond
	stallMax          = 200 * time.Millisecond
	stallAlpha        = 1.5
	stallMean         = 25500 * time.Microsecond
	noiseFactor       = 4.0
	noiseDuration     = 40 * time.Millisecond
	noiseInterval     = 800 * time.Millisecond
	slowStartFactor   = 5.0
	slowStartDuration = 2 * time.Second
	errorLatency      = 20 * time.Microsecond
	restartDelay      = 500 * time.Millisecond
)

// job is one attempt at an upstream, or a request of the background load if it has no entry.
type job struct {
	entry     *entry
	key       attemptKey
	request   *call
	rank      int
	work      time.Duration
	conn      *connection
	started   time.Time
	running   bool
	finished  bool
	cancelled bool
}

// reportSample is the load of an upstream from a time until the next sample.
type reportSample struct {
	at     time.Time
	report balancer.Report
}

// upstream simulates a server with slots and a short queue.
type upstream struct {
	sim     *simulation
	config  patcher.Upstream
	random  *rand.Rand
	running int
	queue   []*job
	history []reportSample

	slowdown       float64
	noisy          bool
	slowStartUntil time.Time
	failing        bool
	lost           bool
	reportsIdle    bool
	drainedAt      time.Time
	busyTime       []time.Duration
}

func newUpstream(sim *simulation, c patcher.Upstream, seed uint64) *upstream {
	u := &upstream{
		sim: sim, config: c, slowdown: 1, random: rand.New(rand.NewPCG(seed, 3)),
		busyTime: make([]time.Duration, len(sim.scenario.Deployment.Ranks)),
	}
	u.scheduleNoise()
	return u
}

func (u *upstream) scheduleNoise() {
	u.sim.after(scale(noiseInterval, u.random.ExpFloat64()), func() {
		u.noisy = true
		u.sim.after(scale(noiseDuration, u.random.ExpFloat64()), func() {
			u.noisy = false
			u.scheduleNoise()
		})
	})
}

func scale(d time.Duration, f float64) time.Duration { return time.Duration(float64(d) * f) }

func (u *upstream) draining() bool { return !u.drainedAt.IsZero() }

// meanServiceTime returns the mean time for which a request of the given mean work occupies a slot.
func meanServiceTime(work time.Duration) time.Duration {
	noise := 1 + (noiseFactor-1)*float64(noiseDuration)/float64(noiseDuration+noiseInterval)
	return scale(work, noise) + scale(stallMean, stallShare)
}

func (u *upstream) serviceTime(work time.Duration) time.Duration {
	f := u.slowdown
	if u.noisy {
		f *= noiseFactor
	}
	if left := u.slowStartUntil.Sub(u.sim.now); left > 0 {
		f *= 1 + (slowStartFactor-1)*float64(left)/float64(slowStartDuration)
	}
	d := scale(work, f)
	if u.random.Float64() < stallShare {
		d += min(scale(stallMin, math.Pow(1-u.random.Float64(), -1/stallAlpha)), stallMax)
	}
	return d
}

// arrive executes, queues or sheds a job.
func (u *upstream) arrive(j *job) {
	switch {
	case j.cancelled:
	case u.lost:
		j.fail(u, false)
	case u.draining():
		j.shed(u)
	case u.failing:
		u.sim.after(errorLatency, func() { j.respond(u, http.StatusInternalServerError) })
	case u.running < u.config.Slots:
		u.execute(j)
	case len(u.queue) < u.config.Slots:
		u.queue = append(u.queue, j)
	default:
		j.shed(u)
	}
	u.recordReport()
}

func (u *upstream) execute(j *job) {
	u.running++
	j.running, j.started = true, u.sim.now
	if j.request != nil {
		j.request.executed = true
	}
	u.sim.after(u.serviceTime(j.work), func() {
		if j.finished {
			return
		}
		u.release(j)
		j.respond(u, http.StatusOK)
	})
}

// release frees the slot of a job, or removes the job from the queue.
func (u *upstream) release(j *job) {
	j.finished = true
	if j.running {
		u.running--
		u.addBusyTime(j)
	} else {
		u.queue = slices.DeleteFunc(u.queue, func(o *job) bool { return o == j })
	}
	for u.running < u.config.Slots && len(u.queue) > 0 {
		next := u.queue[0]
		u.queue = u.queue[1:]
		u.execute(next)
	}
	u.recordReport()
}

func (u *upstream) addBusyTime(j *job) {
	from := u.sim.start.Add(warmUp)
	if j.started.After(from) {
		from = j.started
	}
	if d := u.sim.now.Sub(from); d > 0 {
		u.busyTime[j.rank] += d
	}
}

func (u *upstream) recordReport() {
	r := balancer.Report{InFlight: u.running, Queued: len(u.queue)}
	u.history = append(u.history, reportSample{at: u.sim.now, report: r})
}

// report returns the load as it was Scenario.Stale ago, or no load if the upstream misreports itself as idle.
func (u *upstream) report() *balancer.Report {
	if u.reportsIdle {
		return &balancer.Report{}
	}
	seen := u.sim.now.Add(-u.sim.scenario.Stale)
	for len(u.history) > 1 && !u.history[1].at.After(seen) {
		u.history = u.history[1:]
	}
	if len(u.history) == 0 {
		return &balancer.Report{}
	}
	r := u.history[0].report
	return &r
}
