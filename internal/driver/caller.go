package driver

import (
	"context"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/azuretrestle/azuretrestle/internal/reducer"
	"github.com/azuretrestle/azuretrestle/pkg/classifier"
	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

const (
	callPrefix = "/call/"
	// maxCalls bounds the requests in progress.
	maxCalls = 20_000
)

// call is a caller's request while it is served.
type call struct {
	request  *http.Request
	service  string
	path     string
	rawPath  string
	onceOnly bool
	// replayable is set if buffered holds the whole body.
	replayable bool
	buffered   bodyBuffer
	// upload is the part of the body that is not buffered, nil if there is none.
	upload *callerBody
	reply  chan reply

	// The fields below are guarded by the driver's mu.

	// arriving is set during the node's step for RequestArrived.
	arriving bool
	// inline runs inlineAttempt in the goroutine of the call's HTTP handler; both are nil if there is none.
	inline        func()
	inlineAttempt *attempt
	attempts      []*attempt
	ended         bool
	// uploadClaimed is set once an attempt has claimed upload.
	uploadClaimed bool

	// The fields below are set only by the goroutine of the HTTP handler, without mu;
	// callerRequestID and route do not change once the call has started.

	// callerRequestID is the caller's own identifier of the request, empty if it has none.
	callerRequestID string
	// finalReply is the reply to the caller, nil if none came from the node.
	finalReply reply
	// route is the name of the route that the request matched.
	route string
}

// Handler returns the HTTP interface for callers.
func (d *Driver) Handler() http.Handler { return http.HandlerFunc(d.serve) }

func (d *Driver) serve(w http.ResponseWriter, r *http.Request) {
	if !d.beginRequest() {
		panic(http.ErrAbortHandler)
	}
	defer d.work.Done()
	path := r.URL.EscapedPath()
	switch {
	case strings.HasPrefix(path, callPrefix):
		d.serveCall(w, r, path[len(callPrefix):])
	case path == "/entries" && r.Method == http.MethodGet:
		d.serveEntries(w, r)
	case path == "/keys" && r.Method == http.MethodGet:
		d.serveKeys(w, r)
	default:
		d.setWriteDeadline(w)
		http.NotFound(w, r)
	}
}

// beginRequest adds a handler to d.work, for which Close waits. It returns false if the driver is closing.
func (d *Driver) beginRequest() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ctx.Err() != nil {
		return false
	}
	d.work.Add(1)
	return true
}

func (d *Driver) serveCall(w http.ResponseWriter, r *http.Request, target string) {
	start := time.Now()
	service, rest, _ := strings.Cut(target, "/")
	name, path, _ := strings.Cut(rest, "/")
	c := &call{request: r, service: service, rawPath: "/" + path, reply: make(chan reply, 1)}
	rank, code := d.lookupRank(service, name)
	// An unknown rank may be a removed one that was once-only.
	c.onceOnly = rank.Kind != patcher.Idempotent
	if code != classifier.OK {
		d.writeReply(w, r, c.refuse(code))
		d.metrics.observeRequest("", "", code, start)
		return
	}
	d.metrics.inFlight.Inc()
	defer d.metrics.inFlight.Dec()
	// This code is recorded if serveRank panics to abort the connection of a truncated response.
	code = classifier.AnswerTruncated
	defer func() { d.metrics.observeRequest(service, name, code, start) }()
	code = d.serveRank(w, c, rank)
}

// serveRank serves a call of a known rank and returns the result code for the metrics.
func (d *Driver) serveRank(w http.ResponseWriter, c *call, rank patcher.Rank) classifier.Code {
	r := c.request
	deadline, err := parseDeadline(r.Header.Get(headerDeadline))
	if err == nil {
		c.path, err = url.PathUnescape(c.rawPath)
	}
	if err != nil || r.Method == http.MethodConnect {
		return d.writeReply(w, r, c.refuse(classifier.MalformedRequest))
	}
	defer c.release()
	if code := d.readBody(c, w, rank); code != classifier.OK {
		w.Header().Set("Connection", "close")
		return d.writeReply(w, r, c.refuse(code))
	}
	id := d.startCall(c, rank, deadline)
	d.runInline(c, id)
	select {
	case rep := <-c.reply:
		return d.writeReply(w, r, rep)
	default:
	}
	select {
	case rep := <-c.reply:
		return d.writeReply(w, r, rep)
	case <-r.Context().Done():
		d.abandonCall(id)
		return classifier.CallerGone
	case <-d.ctx.Done():
		panic(http.ErrAbortHandler)
	}
}

// runInline runs the first attempt in the goroutine of the HTTP handler, which
// saves two goroutine wake-ups per request. It returns once the attempt has ended
// or was cancelled.
func (d *Driver) runInline(c *call, id reducer.RequestID) {
	if c.inline == nil {
		return
	}
	stop := context.AfterFunc(c.request.Context(), func() { d.abandonCall(id) })
	defer stop()
	c.inline()
}

// isFirstAttempt reports whether the caller marked the request as the first attempt with its key.
func (c *call) isFirstAttempt() bool { return c.request.Header.Get(headerAttempt) == firstAttemptValue }

// refuse returns the refusal of a request that the node has not seen. The outcome
// of a once-only request with a key is unknown unless it is the first attempt with
// that key: earlier attempts may have run, here or through another entry.
func (c *call) refuse(code classifier.Code) refusal {
	out := refuseRequest(code)
	if c.onceOnly && c.request.Header.Get(headerKey) != "" && !c.isFirstAttempt() {
		out.Outcome = classifier.OutcomeUnknown
	}
	return out
}

func (c *call) release() {
	if c.buffered.memory != nil {
		c.buffered.release()
	}
}

func parseDeadline(s string) (time.Time, error) {
	if s == "" {
		return time.Time{}, nil
	}
	return time.Parse(time.RFC3339Nano, s)
}

func (d *Driver) lookupRank(service, name string) (patcher.Rank, classifier.Code) {
	d.mu.Lock()
	defer d.mu.Unlock()
	rank, code := d.node.Rank(service, name)
	if code == classifier.OK && len(d.calls) >= maxCalls {
		code = classifier.QueueFull
	}
	return rank, code
}

func (d *Driver) startCall(c *call, rank patcher.Rank, deadline time.Time) reducer.RequestID {
	h := c.request.Header
	ev := reducer.RequestArrived{
		Service: c.service, Rank: rank.Name, Route: c.route, Deadline: deadline,
		Key: h.Get(headerKey), BodySize: c.request.ContentLength,
		FirstAttempt: c.isFirstAttempt(),
		Replayable:   c.replayable,
	}
	if c.onceOnly && d.codec == nil {
		ev.BodyDigest = xxhash.Sum64(c.buffered.body)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	ev.ID = d.newID()
	ev.Stamp = stamp()
	d.calls[ev.ID] = c
	c.arriving = true
	d.step(ev)
	c.arriving = false
	return ev.ID
}

// abandonCall ends a call whose caller disconnected and reports that to the node.
func (d *Driver) abandonCall(id reducer.RequestID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c, ok := d.calls[id]
	if !ok {
		return
	}
	d.endCall(id, c, nil)
	d.step(reducer.CallerDisconnected{Stamp: stamp(), ID: id})
}

// sendReply passes a reply to the HTTP handler of the call. It returns false if the call has already ended.
func (d *Driver) sendReply(id reducer.RequestID, rep reply) bool {
	c, ok := d.calls[id]
	if !ok {
		return false
	}
	d.endCall(id, c, rep)
	c.reply <- rep
	return true
}

// endCall ends a call and drops the responses that it does not relay; d.mu is held.
func (d *Driver) endCall(id reducer.RequestID, c *call, rep reply) {
	delete(d.calls, id)
	c.ended = true
	for _, a := range c.attempts {
		if a.response != nil && reply(a.response) != rep {
			d.dropAttempt(a)
		}
	}
	// The HTTP handler may still be running an attempt although another one has won.
	if c.inlineAttempt != nil && c.inlineAttempt.response == nil {
		c.inlineAttempt.cancel()
	}
}
