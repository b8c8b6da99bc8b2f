package driver

import (
	"github.com/pkg/errors"
	"go.uber.org/zap/zapcore"

	"github.com/azuretrestle/azuretrestle/internal/dialer"
)

// errUnusable is the cause of an attempt whose response must not be relayed.
var errUnusable = errors.New("the response lacks what a caller may rely on")

// transfer tells how the request of an attempt was sent, and why it ended without a usable
// response. It is known only for a managed entry.
type transfer struct {
	connection connectionState
	// err is the error without which there would be a response, nil if there is one.
	err error
	// unnamed is set if the response names no request.
	unnamed bool
}

// connectionState tells which connection an attempt had.
type connectionState uint8

const (
	connectionUnknown connectionState = iota
	connectionNone
	connectionNew
	connectionReused
)

// String returns the name of the state.
func (s connectionState) String() string {
	return [...]string{"Unknown", "None", "New", "Reused"}[s]
}

func connectionOf(s dialer.SendStatus) connectionState {
	switch {
	case !s.Connected:
		return connectionNone
	case s.Reused:
		return connectionReused
	default:
		return connectionNew
	}
}

// Evidence on which an attempt counts as not run.
const (
	evidenceStated        = "Stated"
	evidenceStatedUnnamed = "StatedUnnamed"
	evidenceNotConnected  = "NotConnected"
	evidenceNotWritten    = "NotWritten"
)

// notRunEvidence returns why an attempt counts as not run, empty if it does not.
func (t *attemptTrace) notRunEvidence() string {
	switch {
	case t.result == resultNotRun && t.unnamed:
		return evidenceStatedUnnamed
	case t.result == resultNotRun:
		return evidenceStated
	case t.sent:
		return ""
	case t.connection == connectionNone:
		return evidenceNotConnected
	default:
		return evidenceNotWritten
	}
}

// addTransfer adds what is known of the transfer to a log line.
func (t *transfer) addTransfer(enc zapcore.ObjectEncoder) {
	if t.connection != connectionUnknown {
		enc.AddString("Connection", t.connection.String())
	}
	if t.unnamed {
		enc.AddBool("Unnamed", true)
	}
	if t.err != nil {
		enc.AddString("Cause", t.err.Error())
	}
}
