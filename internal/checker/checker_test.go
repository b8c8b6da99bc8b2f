package checker_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azuretrestle/azuretrestle/internal/checker"
	"github.com/azuretrestle/azuretrestle/internal/reducer"
	"github.com/azuretrestle/azuretrestle/pkg/classifier"
	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const key = "k@w.1"

func attempt(id reducer.RequestID) reducer.AttemptID {
	return reducer.AttemptID{Request: id, Number: 1}
}

// step returns a step of incarnation 1 of a node with version 1 in force.
func step(ms int, node string, ev reducer.Event, effects ...reducer.Effect) checker.Step {
	at := epoch.Add(time.Duration(ms) * time.Millisecond)
	return checker.Step{At: at, Node: node, Incarnation: 1, Event: ev, Effects: effects, Version: 1}
}

func stamp(ms int) reducer.Stamp {
	return reducer.Stamp{Now: epoch.Add(time.Duration(ms) * time.Millisecond)}
}

func arrived(id reducer.RequestID, key string) reducer.RequestArrived {
	return reducer.RequestArrived{ID: id, Key: key, BodyDigest: 1}
}

func answered(id reducer.RequestID, body string) reducer.UpstreamAnswered {
	return reducer.UpstreamAnswered{Attempt: attempt(id), Status: 200, Whole: true, Body: []byte(body)}
}

func dispatch(id reducer.RequestID, upstream string) reducer.Dispatch {
	return reducer.Dispatch{Attempt: attempt(id), Upstream: upstream, Deadline: epoch.Add(time.Second)}
}

func executed(ms int, node string, id reducer.RequestID) checker.Execution {
	at := epoch.Add(time.Duration(ms) * time.Millisecond)
	return checker.Execution{At: at, Node: node, Incarnation: 1, Attempt: attempt(id), Upstream: "u"}
}

func refuse(id reducer.RequestID) reducer.Refuse {
	return reducer.Refuse{ID: id, Code: classifier.QueueFull, Outcome: classifier.OutcomeNotRun}
}

func submitted(id string) reducer.PatchSubmitted {
	return reducer.PatchSubmitted{Patch: patcher.Patch{ID: id, Base: 1}}
}

func withVersion(s checker.Step, v uint64) checker.Step {
	s.Version = v
	return s
}

func departed(ms int) checker.Departure {
	return checker.Departure{At: epoch.Add(time.Duration(ms) * time.Millisecond), Upstream: "u"}
}

var (
	timerFired = reducer.TimerFired{}
	probe      = reducer.Probe{Service: "S"}
	relay      = reducer.Relay{Attempt: attempt(1)}
	cancel     = reducer.Cancel{Attempt: attempt(1)}
	accepted   = reducer.AnswerPatch{Code: classifier.OK, Version: 2}
	stored     = reducer.AnswerStored{ID: 1, Status: 200, Body: []byte("x")}
	partial    = reducer.UpstreamAnswered{Attempt: attempt(1), Status: 200}
	stopped    = reducer.Stop{Phase: reducer.StopDone}
)

// TestCheckers guards against a checker that misses a violation, or that reports one
// on a trace that the design allows. An empty id marks an allowed trace.
func TestCheckers(t *testing.T) {
	for name, tt := range map[string]struct {
		id    string
		trace checker.Trace
	}{
		"two probes in a second":          {"", checker.Trace{step(0, "a", timerFired, probe), step(999, "b", timerFired, probe)}},
		"probes of a later window":        {"", checker.Trace{step(0, "a", timerFired, probe, probe), step(1000, "b", timerFired, probe)}},
		"three probes of two nodes":       {"I1", checker.Trace{step(0, "a", timerFired, probe, probe), step(999, "b", timerFired, probe)}},
		"relay":                           {"", checker.Trace{step(0, "a", arrived(1, "")), step(1, "a", answered(1, ""), relay)}},
		"relay before the response":       {"I2", checker.Trace{step(0, "a", arrived(1, ""), relay)}},
		"relay of another request":        {"I2", checker.Trace{step(0, "a", arrived(1, "")), step(0, "a", arrived(2, "")), step(1, "a", answered(2, ""), relay)}},
		"relay of another node":           {"I2", checker.Trace{step(0, "a", arrived(1, "")), step(0, "b", arrived(1, "")), step(1, "b", answered(1, "")), step(2, "a", timerFired, relay)}},
		"two responses":                   {"I2", checker.Trace{step(0, "a", arrived(1, "")), step(1, "a", answered(1, ""), relay), step(2, "a", timerFired, refuse(1))}},
		"response without a request":      {"I2", checker.Trace{step(0, "a", timerFired, refuse(1))}},
		"stored response":                 {"", checker.Trace{step(0, "b", arrived(2, key)), step(1, "b", answered(2, "x")), step(2, "a", arrived(1, key), stored)}},
		"stored response of another key":  {"I2", checker.Trace{step(0, "b", arrived(2, "j@w.1")), step(1, "b", answered(2, "x")), step(2, "a", arrived(1, key), stored)}},
		"truncated stored response":       {"I2", checker.Trace{step(0, "b", arrived(2, key)), step(1, "b", answered(2, "xy")), step(2, "a", arrived(1, key), stored)}},
		"refused as not run":              {"", checker.Trace{step(0, "a", arrived(1, ""), refuse(1)), executed(1, "b", 1)}},
		"refused as not run but ran":      {"I3", checker.Trace{step(0, "a", arrived(1, "")), executed(1, "a", 1), step(2, "a", timerFired, refuse(1))}},
		"refused as not run, ran later":   {"I3", checker.Trace{step(0, "a", arrived(1, ""), refuse(1)), executed(1, "a", 1)}},
		"ran by a later request":          {"I3", checker.Trace{step(0, "a", arrived(1, key), refuse(1)), step(1, "b", arrived(1, key)), executed(2, "b", 1)}},
		"ran by an earlier request":       {"I3", checker.Trace{step(0, "b", arrived(1, key)), step(1, "a", arrived(1, key), refuse(1)), executed(2, "b", 1)}},
		"ran after a first attempt":       {"", checker.Trace{step(0, "a", reducer.RequestArrived{ID: 1, Key: key, FirstAttempt: true}, refuse(1)), step(1, "b", arrived(1, key)), executed(2, "b", 1)}},
		"two executions of a key":         {"I4", checker.Trace{step(0, "a", arrived(1, key)), step(0, "b", arrived(1, key)), executed(1, "a", 1), executed(2, "b", 1)}},
		"two executions without a key":    {"", checker.Trace{step(0, "a", arrived(1, "")), executed(1, "a", 1), executed(2, "a", 1)}},
		"dispatch within the leave bound": {"", checker.Trace{departed(0), step(3000, "a", arrived(1, ""), dispatch(1, "u"))}},
		"dispatch after the leave bound":  {"I5", checker.Trace{departed(0), step(3001, "a", arrived(1, ""), dispatch(1, "u"))}},
		"stop after the last response":    {"", checker.Trace{step(0, "a", arrived(1, "")), step(1, "a", reducer.StopRequested{}), step(2, "a", answered(1, ""), relay), step(3, "a", timerFired, stopped)}},
		"stop with an open request":       {"I6", checker.Trace{step(0, "a", arrived(1, "")), step(1, "a", reducer.StopRequested{}), step(3, "a", timerFired, stopped)}},
		"stop while a response streams":   {"I6", checker.Trace{step(0, "a", arrived(1, "")), step(2, "a", partial, relay), step(3, "a", timerFired, stopped)}},
		"cancelled by a drain":            {"I6", checker.Trace{step(0, "a", arrived(1, ""), dispatch(1, "u")), departed(1), step(2, "a", timerFired, cancel)}},
		"cancelled by a stop":             {"I6", checker.Trace{step(0, "a", arrived(1, ""), dispatch(1, "u")), step(1, "a", reducer.StopRequested{}, cancel)}},
		"cancelled by the caller":         {"", checker.Trace{step(0, "a", arrived(1, ""), dispatch(1, "u")), departed(1), step(2, "a", reducer.CallerDisconnected{ID: 1}, cancel)}},
		"cancelled by the deadline":       {"", checker.Trace{step(0, "a", arrived(1, ""), dispatch(1, "u")), departed(1), step(2, "a", reducer.TimerFired{Stamp: stamp(1000)}, cancel)}},
		"version in effect":               {"", checker.Trace{step(0, "a", submitted("p"), accepted), step(6000, "b", timerFired, dispatch(1, "u")), withVersion(step(6001, "b", timerFired, dispatch(2, "u")), 2)}},
		"version not in effect":           {"I7", checker.Trace{step(0, "a", submitted("p"), accepted), step(6001, "b", timerFired, dispatch(1, "u"))}},
		"version goes back":               {"I7", checker.Trace{withVersion(step(0, "a", timerFired), 2), step(1, "a", timerFired)}},
		"version of two patches":          {"I7", checker.Trace{step(0, "a", submitted("p"), accepted), step(1, "b", submitted("q"), accepted)}},
		"stale patch accepted":            {"I7", checker.Trace{step(0, "a", submitted("p"), reducer.AnswerPatch{Code: classifier.OK, Version: 3})}},
		"version of a repeated patch":     {"", checker.Trace{step(0, "a", submitted("p"), accepted), step(1, "b", submitted("p"), accepted)}},
		"no response to a patch":          {"Unended", checker.Trace{step(0, "a", submitted("p"))}},
		"no response":                     {"Unended", checker.Trace{step(0, "a", arrived(1, "")), step(9000, "a", timerFired)}},
		"no response before a crash":      {"", checker.Trace{step(0, "crashed", arrived(1, "")), step(100, "a", timerFired)}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			// The other traces are too short to contain the end of each request.
			var alive map[string]uint64
			if strings.HasPrefix(name, "no response") {
				alive = map[string]uint64{"a": 1}
			}
			limits := checker.Limits{Budget: map[string]float64{"S": 2}}
			found := append(checker.Check(tt.trace, limits), checker.Unended(tt.trace, alive)...)
			if tt.id == "" {
				is.Equal(len(found), 0) // an allowed trace
				return
			}
			is.True(len(found) > 0)
			is.Equal(found[0].Invariant, tt.id)
		})
	}
}
