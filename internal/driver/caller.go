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
	// replayable is set if held is the whole body.
	replayable bool
	held       holding
	// upload is the part of the body that is not held, nil if there is none.
	upload *callerBody
	reply  chan reply

	// The fields below are guarded by the driver's mu.

	// arriving is set while the node steps for the arrival.
	arriving bool
	// inline is the attempt that the caller's own goroutine runs, nil if none.
	inline   func()
	own      *attempt
	attempts []*attempt
	ended    bool
	// uploaded is set once an attempt took upload.
	uploaded bool
	// id is the caller's own name of the request, empty if it has none.
	id string
	// ending is what the caller got, nil if it left.
	ending reply
	// route is the name of the route that the request came by.
	route string
}

// Handler returns the HTTP interface for callers.
func (d *Driver) Handler() http.Handler { return http.HandlerFunc(d.serve) }

func (d *Driver) serve(w http.ResponseWriter, r *http.Request) {
	if !d.enter() {
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
		d.limitWrite(w)
		http.NotFound(w, r)
	}
}

// enter adds a handler to the driver's work unless the driver is closing.
func (d *Driver) enter() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ctx.Err() != nil {
		return false
	}
	d.work.Add(1)
	return true
}

func (d *Driver) serveCall(w http.ResponseWriter, r *http.Request, target string) {
	begun := time.Now()
	service, rest, _ := strings.Cut(target, "/")
	name, path, _ := strings.Cut(rest, "/")
	c := &call{request: r, service: service, rawPath: "/" + path, reply: make(chan reply, 1)}
	rank, code := d.rank(service, name)
	// An unknown rank may be one that was once-only until it was removed.
	c.onceOnly = rank.Kind != patcher.Idempotent
	if code != classifier.OK {
		d.write(w, r, c.refuse(code))
		d.metrics.count("", "", code, begun)
		return
	}
	d.metrics.inFlight.Inc()
	defer d.metrics.inFlight.Dec()
	// An answer that breaks off leaves by a panic.
	code = classifier.AnswerTruncated
	defer func() { d.metrics.count(service, name, code, begun) }()
	code = d.serveRank(w, c, rank)
}

// serveRank returns the code to count.
func (d *Driver) serveRank(w http.ResponseWriter, c *call, rank patcher.Rank) classifier.Code {
	r := c.request
	deadline, err := parseDeadline(r.Header.Get(headerDeadline))
	if err == nil {
		c.path, err = url.PathUnescape(c.rawPath)
	}
	if err != nil || r.Method == http.MethodConnect {
		return d.write(w, r, c.refuse(classifier.MalformedRequest))
	}
	defer c.release()
	if code := d.readBody(c, w, rank); code != classifier.OK {
		w.Header().Set("Connection", "close")
		return d.write(w, r, c.refuse(code))
	}
	id := d.arrive(c, rank, deadline)
	d.runInline(c, id)
	select {
	case rep := <-c.reply:
		return d.write(w, r, rep)
	default:
	}
	select {
	case rep := <-c.reply:
		return d.write(w, r, rep)
	case <-r.Context().Done():
		d.abandon(id)
		return classifier.CallerGone
	case <-d.ctx.Done():
		panic(http.ErrAbortHandler)
	}
}

// runInline runs the first attempt in the caller's goroutine, which saves two
// wake-ups a request. It returns once the attempt ended or was cancelled.
func (d *Driver) runInline(c *call, id reducer.RequestID) {
	if c.inline == nil {
		return
	}
	stop := context.AfterFunc(c.request.Context(), func() { d.abandon(id) })
	defer stop()
	c.inline()
}

// first reports whether the caller marked the request as the first attempt with its key.
func (c *call) first() bool { return c.request.Header.Get(headerAttempt) == firstAttempt }

// refuse refuses a request before the node has seen it. Earlier attempts with
// the key of a once-only request may have run, here or through another entry.
func (c *call) refuse(code classifier.Code) refusal {
	out := refuseRequest(code)
	if c.onceOnly && c.request.Header.Get(headerKey) != "" && !c.first() {
		out.Outcome = classifier.OutcomeUnknown
	}
	return out
}

func (c *call) release() {
	if c.held.memory != nil {
		c.held.release()
	}
}

func parseDeadline(s string) (time.Time, error) {
	if s == "" {
		return time.Time{}, nil
	}
	return time.Parse(time.RFC3339Nano, s)
}

func (d *Driver) rank(service, name string) (patcher.Rank, classifier.Code) {
	d.mu.Lock()
	defer d.mu.Unlock()
	rank, code := d.node.Rank(service, name)
	if code == classifier.OK && len(d.calls) >= maxCalls {
		code = classifier.QueueFull
	}
	return rank, code
}

func (d *Driver) arrive(c *call, rank patcher.Rank, deadline time.Time) reducer.RequestID {
	h := c.request.Header
	ev := reducer.RequestArrived{
		Service: c.service, Rank: rank.Name, Route: c.route, Deadline: deadline,
		Key: h.Get(headerKey), BodySize: c.request.ContentLength,
		FirstAttempt: c.first(),
		Replayable:   c.replayable,
	}
	if c.onceOnly && d.wire == nil {
		ev.BodyDigest = xxhash.Sum64(c.held.body)
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

// abandon tells the node that a caller hung up.
func (d *Driver) abandon(id reducer.RequestID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c, ok := d.calls[id]
	if !ok {
		return
	}
	d.endCall(id, c, nil)
	d.step(reducer.CallerGone{Stamp: stamp(), ID: id})
}

// end hands a reply to the caller's goroutine; it reports false if the caller is gone.
func (d *Driver) end(id reducer.RequestID, rep reply) bool {
	c, ok := d.calls[id]
	if !ok {
		return false
	}
	d.endCall(id, c, rep)
	c.reply <- rep
	return true
}

// endCall ends a call and drops the answers that it does not relay; d.mu is held.
func (d *Driver) endCall(id reducer.RequestID, c *call, rep reply) {
	delete(d.calls, id)
	c.ended = true
	for _, a := range c.attempts {
		if a.answer != nil && reply(a.answer) != rep {
			d.drop(a)
		}
	}
	// The caller's goroutine may still be busy with an attempt that lost.
	if c.own != nil && c.own.answer == nil {
		c.own.cancel()
	}
}
