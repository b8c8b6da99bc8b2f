package balancer

import "time"

const (
	// crowdedUse is the use of the slots from which an upstream counts as crowded.
	crowdedUse = 0.8
	// crowdedCost is the factor on the latency from which crowding costs more
	// throughput than the slots beyond crowdedUse bring.
	crowdedCost = 1 / crowdedUse
	// leastSamples is the number of answers before crowding is judged.
	leastSamples = 20
	// crowdWeight is the weight of a new answer in the means.
	crowdWeight = 0.05
	// maxCrowding bounds one sample.
	maxCrowding = 5
)

// Condition is what was known of an upstream when an attempt was sent.
type Condition struct {
	// ReportedAt is when the last report came, zero if there was none.
	ReportedAt time.Time
	// Pace and Running are what it told.
	Pace    float64
	Running int
	// known is set if the report was fresh.
	known bool
	use   float64
}

func (u *upstream) conditionNow(now time.Time) Condition {
	return Condition{
		ReportedAt: u.reportedAt, Pace: u.pace, Running: u.running,
		known: u.pace > 0 && now.Sub(u.pacedAt) <= freshReport,
		use:   float64(u.running+1) / float64(max(u.Slots, 1)),
	}
}

// Launch notes the conditions under which an attempt is sent.
func (p *Pool) Launch(now time.Time, a *Attempt) {
	a.started = now
	a.Condition = a.upstream.conditionNow(now)
}

// crowding is what a pool learned of upstreams that are nearly full.
type crowding struct {
	// factor is the mean factor on the latency of upstreams that were crowded.
	factor  float64
	samples int
}

// learnCondition takes the latency of an attempt whose conditions were known.
func (p *Pool) learnCondition(a *Attempt, latency time.Duration) {
	if !a.known || a.Pace >= slowPace {
		return
	}
	plain := time.Duration(float64(latency) / a.Pace)
	if a.use <= crowdedUse {
		if a.rank.usual == 0 {
			a.rank.usual = plain
		}
		a.rank.usual += time.Duration(float64(plain-a.rank.usual) * crowdWeight)
		return
	}
	if a.rank.usual == 0 {
		return
	}
	sample := min(float64(plain)/float64(a.rank.usual), maxCrowding)
	p.crowd.samples++
	if p.crowd.samples == 1 {
		p.crowd.factor = sample
	}
	p.crowd.factor += (sample - p.crowd.factor) * crowdWeight
}

// usable is the number of slots worth using: all, unless crowding costs more than they bring.
func (p *Pool) usableSlots(u *upstream) int {
	if p.crowd.samples >= leastSamples && p.crowd.factor > crowdedCost {
		return max(int(crowdedUse*float64(u.Slots)), 1)
	}
	return u.Slots
}
