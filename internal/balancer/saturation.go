package balancer

import "time"

const (
	// saturatedUtilisation is the utilisation of the slots from which an upstream counts
	// as saturated.
	saturatedUtilisation = 0.8
	// saturatedLatency is the factor on the latency from which saturation costs more
	// throughput than the slots beyond saturatedUtilisation add.
	saturatedLatency = 1 / saturatedUtilisation
	// minSamples is the number of responses needed before the effect of saturation is assessed.
	minSamples = 20
	// saturationWeight is the weight of a new sample in the baseline latency and in the
	// saturation factor.
	saturationWeight = 0.05
	// maxSaturation bounds one sample of the saturation factor.
	maxSaturation = 5
)

// Condition is the known load of an upstream when an attempt was sent.
type Condition struct {
	// ReportedAt is when the last report was received, zero if there was none.
	ReportedAt time.Time
	// Pace is the last reported slowdown. Running is the number of requests in the last report.
	Pace    float64
	Running int
	// fresh is set if the report was recent.
	fresh       bool
	utilisation float64
}

func (u *upstream) conditionNow(now time.Time) Condition {
	return Condition{
		ReportedAt: u.reportedAt, Pace: u.slowdown, Running: u.running,
		fresh:       u.slowdown > 0 && now.Sub(u.slowdownAt) <= freshReport,
		utilisation: float64(u.running+1) / float64(max(u.Slots, 1)),
	}
}

// MarkSent records the start and the condition of an attempt that is sent now.
func (p *Pool) MarkSent(now time.Time, a *Attempt) {
	a.started = now
	a.Condition = a.upstream.conditionNow(now)
}

// saturation is the measured effect of high utilisation on the latency of a pool.
type saturation struct {
	// factor is the mean latency of saturated upstreams as a multiple of the baseline.
	factor  float64
	samples int
}

// observeSaturation adds the latency of an attempt to the baseline of its rank or, if the
// upstream was saturated, to the saturation factor. It ignores attempts that were sent
// without a recent report or at a high slowdown.
func (p *Pool) observeSaturation(a *Attempt, latency time.Duration) {
	if !a.fresh || a.Pace >= SlowThreshold {
		return
	}
	normalised := time.Duration(float64(latency) / a.Pace)
	if a.utilisation <= saturatedUtilisation {
		if a.rank.baseline == 0 {
			a.rank.baseline = normalised
		}
		a.rank.baseline += time.Duration(float64(normalised-a.rank.baseline) * saturationWeight)
		return
	}
	if a.rank.baseline == 0 {
		return
	}
	sample := min(float64(normalised)/float64(a.rank.baseline), maxSaturation)
	p.saturation.samples++
	if p.saturation.samples == 1 {
		p.saturation.factor = sample
	}
	p.saturation.factor += (sample - p.saturation.factor) * saturationWeight
}

// usableSlots returns the number of slots to use: all, unless saturation costs more
// throughput than the last ones add.
func (p *Pool) usableSlots(u *upstream) int {
	if p.saturation.samples >= minSamples && p.saturation.factor > saturatedLatency {
		return max(int(saturatedUtilisation*float64(u.Slots)), 1)
	}
	return u.Slots
}
