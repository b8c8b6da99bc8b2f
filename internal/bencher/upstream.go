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

// Figures of the service time: lognormal work, rare stalls with a Pareto tail,
// and noisy neighbours that slow a whole upstream for some milliseconds.
const (
	workSigma      = 0.5
	stallShare     = 0.02
	stallLeast     = 10 * time.Millisecond
	stallMost      = 200 * time.Millisecond
	stallAlpha     = 1.5
	stallMean      = 25500 * time.Microsecond
	noiseFactor    = 4.0
	noiseLength    = 40 * time.Millisecond
	noiseGap       = 800 * time.Millisecond
	coldFactor     = 5.0
	coldLength     = 2 * time.Second
	errorTime      = 20 * time.Microsecond
	stoppedForCold = 500 * time.Millisecond
)

// job is one attempt, or a piece of background load if it has no entry.
type job struct {
	entry     *entry
	key       attemptKey
	request   *call
	rank      int
	work      time.Duration
	conn      *connection
	began     time.Time
	running   bool
	finished  bool
	cancelled bool
}

// state is what an upstream reported at a time.
type state struct {
	at     time.Time
	report balancer.Report
}

// upstream is a server with slots and a short queue of its own.
type upstream struct {
	world   *world
	config  patcher.Upstream
	random  *rand.Rand
	running int
	queue   []*job
	history []state

	slow       float64
	noisy      bool
	coldUntil  time.Time
	failing    bool
	lost       bool
	idleReport bool
	drainedAt  time.Time
	busy       []time.Duration
}

func newUpstream(w *world, c patcher.Upstream, seed uint64) *upstream {
	u := &upstream{
		world: w, config: c, slow: 1, random: rand.New(rand.NewPCG(seed, 3)),
		busy: make([]time.Duration, len(w.scenario.Deployment.Ranks)),
	}
	u.scheduleNoise()
	return u
}

func (u *upstream) scheduleNoise() {
	u.world.after(scale(noiseGap, u.random.ExpFloat64()), func() {
		u.noisy = true
		u.world.after(scale(noiseLength, u.random.ExpFloat64()), func() {
			u.noisy = false
			u.scheduleNoise()
		})
	})
}

func scale(d time.Duration, f float64) time.Duration { return time.Duration(float64(d) * f) }

func (u *upstream) draining() bool { return !u.drainedAt.IsZero() }

// meanService is the mean time that a request of the given mean work holds a slot.
func meanService(work time.Duration) time.Duration {
	noise := 1 + (noiseFactor-1)*float64(noiseLength)/float64(noiseLength+noiseGap)
	return scale(work, noise) + scale(stallMean, stallShare)
}

func (u *upstream) serviceTime(work time.Duration) time.Duration {
	f := u.slow
	if u.noisy {
		f *= noiseFactor
	}
	if left := u.coldUntil.Sub(u.world.now); left > 0 {
		f *= 1 + (coldFactor-1)*float64(left)/float64(coldLength)
	}
	d := scale(work, f)
	if u.random.Float64() < stallShare {
		d += min(scale(stallLeast, math.Pow(1-u.random.Float64(), -1/stallAlpha)), stallMost)
	}
	return d
}

// arrive runs, queues or sheds a job.
func (u *upstream) arrive(j *job) {
	switch {
	case j.cancelled:
	case u.lost:
		j.fail(u, false)
	case u.draining():
		j.shed(u)
	case u.failing:
		u.world.after(errorTime, func() { j.answer(u, http.StatusInternalServerError) })
	case u.running < u.config.Slots:
		u.run(j)
	case len(u.queue) < u.config.Slots:
		u.queue = append(u.queue, j)
	default:
		j.shed(u)
	}
	u.record()
}

func (u *upstream) run(j *job) {
	u.running++
	j.running, j.began = true, u.world.now
	if j.request != nil {
		j.request.ran = true
	}
	u.world.after(u.serviceTime(j.work), func() {
		if j.finished {
			return
		}
		u.release(j)
		j.answer(u, http.StatusOK)
	})
}

// release frees the slot or the place in the queue of a job.
func (u *upstream) release(j *job) {
	j.finished = true
	if j.running {
		u.running--
		u.account(j)
	} else {
		u.queue = slices.DeleteFunc(u.queue, func(o *job) bool { return o == j })
	}
	for u.running < u.config.Slots && len(u.queue) > 0 {
		next := u.queue[0]
		u.queue = u.queue[1:]
		u.run(next)
	}
	u.record()
}

func (u *upstream) account(j *job) {
	from := u.world.start.Add(warmUp)
	if j.began.After(from) {
		from = j.began
	}
	if d := u.world.now.Sub(from); d > 0 {
		u.busy[j.rank] += d
	}
}

func (u *upstream) record() {
	r := balancer.Report{InFlight: u.running, Queued: len(u.queue)}
	u.history = append(u.history, state{at: u.world.now, report: r})
}

// report is the state of some time ago, or a claim to be idle.
func (u *upstream) report() *balancer.Report {
	if u.idleReport {
		return &balancer.Report{}
	}
	seen := u.world.now.Add(-u.world.scenario.Stale)
	for len(u.history) > 1 && !u.history[1].at.After(seen) {
		u.history = u.history[1:]
	}
	if len(u.history) == 0 {
		return &balancer.Report{}
	}
	r := u.history[0].report
	return &r
}
