package driver

import (
	"context"
	"net/http"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/azuretrestle/azuretrestle/internal/dialer"
)

// TestDisconnectCause guards against a log line that names the caller, or a panic while it
// is written, if a request ends without a reply for another reason.
func TestDisconnectCause(t *testing.T) {
	for _, c := range []struct {
		name         string
		conn, driver error
		want         string
	}{
		{"caller", errors.New("closed"), nil, "closed"},
		{"caller of an entry that ends", errors.New("closed"), errors.New("end"), "closed"},
		{"entry", nil, errors.New("end"), "the entry ended"},
		{"handler", nil, nil, "the handler failed"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := &Driver{ctx: endedContext(c.driver)}
			req, err := http.NewRequestWithContext(endedContext(c.conn), http.MethodGet, "/", nil)
			is.NoErr(err)
			is.Equal(d.disconnectCause(&call{request: req}), c.want)
		})
	}
}

// TestNotRunEvidence guards against attempts that count as not run for a reason that the
// metrics don't tell from others.
func TestNotRunEvidence(t *testing.T) {
	for _, c := range []struct {
		status           dialer.SendStatus
		refused, unnamed bool
		want             string
	}{
		{dialer.SendStatus{}, false, false, "NotConnected"},
		{dialer.SendStatus{Connected: true}, false, false, "NotWritten"},
		{dialer.SendStatus{Connected: true, Reused: true}, false, false, "NotWritten"},
		{dialer.SendStatus{Connected: true, Bytes: true}, false, false, ""},
		{dialer.SendStatus{Connected: true, Bytes: true}, true, false, "Stated"},
		{dialer.SendStatus{Connected: true, Bytes: true}, true, true, "StatedUnnamed"},
	} {
		is := is.New(t)
		trace := attemptTrace{sent: c.status.Bytes, transfer: transfer{connection: connectionOf(c.status), unnamed: c.unnamed}}
		if c.refused {
			trace.result = resultNotRun
		}
		is.Equal(trace.notRunEvidence(), c.want)
	}
}

// endedContext returns a context that has ended with the given cause, or one that has not
// ended if the cause is nil.
func endedContext(cause error) context.Context {
	if cause == nil {
		return context.Background()
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	cancel(cause)
	return ctx
}
