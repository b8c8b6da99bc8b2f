package driver

import (
	"context"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/azuretrestle/azuretrestle/internal/balancer"
	"github.com/azuretrestle/azuretrestle/internal/reducer"
	"github.com/azuretrestle/azuretrestle/pkg/classifier"
)

// successSampling is the number of plain successes of which one is logged.
const successSampling = 100

// resultNotRun is the result of an attempt that the upstream refused as not run.
const resultNotRun = "NotRun"

// attemptTrace holds what is logged about one attempt. It is guarded by the driver's mu.
type attemptTrace struct {
	upstream  string
	startedAt time.Time
	endedAt   time.Time
	deadline  time.Time
	condition balancer.Condition
	result    string
	status    int
	// sent is set unless it is certain that no byte of the request was sent.
	sent bool
	// leaving is set if the response said that the upstream is about to stop.
	leaving bool
	transfer
}

func newTrace(e reducer.Dispatch) attemptTrace {
	return attemptTrace{upstream: e.Upstream, startedAt: time.Now(), deadline: e.Deadline, condition: e.Known, result: "Open", sent: true}
}

// end records how an attempt ended. An attempt that ends at or after its deadline is recorded as timed out.
func (t *attemptTrace) end(result string, sent bool) {
	t.endedAt = time.Now()
	if !t.endedAt.Before(t.deadline) {
		result = resultLabels[balancer.FailureTimeout]
	}
	t.result = result
	t.sent = sent
}

func (t *attemptTrace) gotResponse(status int, notRun, leaving bool) {
	t.endedAt = time.Now()
	t.leaving = leaving
	t.result = "Answered"
	t.status = status
	if notRun {
		t.result = resultNotRun
	}
}

// MarshalLogObject encodes the chosen upstream, the load report behind the choice
// and the result of the attempt.
func (t *attemptTrace) MarshalLogObject(enc zapcore.ObjectEncoder) error {
	enc.AddString("Upstream", t.upstream)
	if !t.condition.ReportedAt.IsZero() {
		enc.AddDuration("ReportAge", t.startedAt.Sub(t.condition.ReportedAt))
		enc.AddFloat64("Pace", t.condition.Pace)
		enc.AddInt("Running", t.condition.Running)
	}
	enc.AddString("Result", t.result)
	enc.AddBool("Sent", t.sent)
	if t.status != 0 {
		enc.AddInt("Status", t.status)
	}
	if t.leaving {
		enc.AddBool("Leaving", true)
	}
	t.addTransfer(enc)
	if !t.endedAt.IsZero() {
		enc.AddDuration("Took", t.endedAt.Sub(t.startedAt))
	}
	return nil
}

// traces lists the attempts of a request.
type traces []attemptTrace

// MarshalLogArray encodes the attempts in order.
func (ts traces) MarshalLogArray(enc zapcore.ArrayEncoder) error {
	for i := range ts {
		if err := enc.AppendObject(&ts[i]); err != nil {
			return err
		}
	}
	return nil
}

// logRequest logs how a request ended and why. Of the plain successes, which took
// one attempt at an upstream that is not leaving and have a status below 500, it logs
// one in successSampling.
func (d *Driver) logRequest(c *call, rank string, code classifier.Code, start time.Time) {
	ts, version := d.attemptTraces(c)
	plain := code == classifier.OK && len(ts) == 1 && ts[0].status < 500 && !ts[0].leaving
	if plain && d.plainSuccesses.Add(1)%successSampling != 0 {
		return
	}
	fields := []zap.Field{
		zap.String("Request", c.callerRequestID), zap.String("Route", c.route), zap.String("Service", c.service), zap.String("Rank", rank),
		zap.Stringer("Code", code), zap.Duration("Took", time.Since(start)), zap.Uint64("Version", version), zap.Array("Attempts", ts),
	}
	message := "request answered"
	switch end := c.finalReply.(type) {
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
		message = "request ended before dispatch"
		if code == classifier.CallerGone {
			message = "request abandoned"
			fields = append(fields, zap.String("Cause", d.disconnectCause(c)))
		}
	}
	d.logger.Info(message, fields...)
}

// disconnectCause returns why a request ended without a reply: the caller closed the
// connection, or this entry did.
func (d *Driver) disconnectCause(c *call) string {
	cause := context.Cause(c.request.Context())
	switch {
	case cause != nil:
		return cause.Error()
	case d.ctx.Err() != nil:
		return "the entry ended"
	default:
		return "the handler failed"
	}
}

func (d *Driver) attemptTraces(c *call) (traces, uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(traces, 0, len(c.attempts))
	for _, a := range c.attempts {
		out = append(out, a.trace)
	}
	return out, d.config.Version
}
