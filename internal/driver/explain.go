package driver

import (
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/azuretrestle/azuretrestle/internal/balancer"
	"github.com/azuretrestle/azuretrestle/internal/reducer"
	"github.com/azuretrestle/azuretrestle/pkg/classifier"
)

// servedShare is the reciprocal share of the plain successes that are logged.
const servedShare = 100

// attemptTrace is what is logged of one attempt. It is guarded by the driver's mu.
type attemptTrace struct {
	upstream string
	begunAt  time.Time
	endedAt  time.Time
	deadline time.Time
	known    balancer.Condition
	result   string
	status   int
	// sent is set unless it is certain that no byte of the request left.
	sent bool
}

func newTrace(e reducer.Dispatch) attemptTrace {
	return attemptTrace{upstream: e.Upstream, begunAt: time.Now(), deadline: e.Deadline, known: e.Known, result: "Open", sent: true}
}

// end notes how an attempt ended. One that is cancelled at its deadline has timed out.
func (t *attemptTrace) end(result string, sent bool) {
	t.endedAt = time.Now()
	if !t.endedAt.Before(t.deadline) {
		result = results[balancer.FailureTimeout]
	}
	t.result = result
	t.sent = sent
}

func (t *attemptTrace) answered(status int, notRun bool) {
	t.endedAt = time.Now()
	t.result = "Answered"
	t.status = status
	if notRun {
		t.result = "NotRun"
	}
}

// MarshalLogObject writes the choice, what it was based on and how the attempt ended.
func (t *attemptTrace) MarshalLogObject(enc zapcore.ObjectEncoder) error {
	enc.AddString("Upstream", t.upstream)
	if !t.known.ReportedAt.IsZero() {
		enc.AddDuration("ReportAge", t.begunAt.Sub(t.known.ReportedAt))
		enc.AddFloat64("Pace", t.known.Pace)
		enc.AddInt("Running", t.known.Running)
	}
	enc.AddString("Result", t.result)
	enc.AddBool("Sent", t.sent)
	if t.status != 0 {
		enc.AddInt("Status", t.status)
	}
	if !t.endedAt.IsZero() {
		enc.AddDuration("Took", t.endedAt.Sub(t.begunAt))
	}
	return nil
}

// traces lists the attempts of a request.
type traces []attemptTrace

// MarshalLogArray writes the attempts in their order.
func (ts traces) MarshalLogArray(enc zapcore.ArrayEncoder) error {
	for i := range ts {
		if err := enc.AppendObject(&ts[i]); err != nil {
			return err
		}
	}
	return nil
}

// explain logs how a request ended and why. Plain successes are logged in part only.
func (d *Driver) explain(c *call, rank string, code classifier.Code, begun time.Time) {
	ts, version := d.tracesOf(c)
	plain := code == classifier.OK && len(ts) == 1 && ts[0].status < 500
	if plain && d.served.Add(1)%servedShare != 0 {
		return
	}
	fields := []zap.Field{
		zap.String("Request", c.id), zap.String("Route", c.route), zap.String("Service", c.service), zap.String("Rank", rank),
		zap.Stringer("Code", code), zap.Duration("Took", time.Since(begun)), zap.Uint64("Version", version), zap.Array("Attempts", ts),
	}
	message := "request answered"
	switch end := c.ending.(type) {
	case refusal:
		message = "request failed"
		if end.Outcome == classifier.OutcomeNotRun {
			message = "request refused"
		}
		fields = append(fields, zap.Stringer("Outcome", end.Outcome), zap.Int("Waiting", end.Waiting))
		if !end.Due.IsZero() {
			fields = append(fields, zap.Duration("TimeToTarget", time.Until(end.Due)))
		}
	case nil:
		message = "request ended before its dispatch"
		if code == classifier.CallerGone {
			message = "caller left"
		}
	}
	d.logger.Info(message, fields...)
}

func (d *Driver) tracesOf(c *call) (traces, uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(traces, 0, len(c.attempts))
	for _, a := range c.attempts {
		out = append(out, a.trace)
	}
	return out, d.config.Version
}
