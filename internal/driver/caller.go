package driver

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/azuretrestle/azuretrestle/internal/reducer"
	"github.com/azuretrestle/azuretrestle/pkg/classifier"
	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

// maxReplayable bounds the request bodies that are held for a repeat, in bytes.
const maxReplayable = 256 << 10

// call is a caller's request while it is served.
type call struct {
	request *http.Request
	path    string
	body    []byte
	reply   chan reply
}

// reply is what a call ends with.
type reply interface{ reply() }

type refusal struct{ reducer.Refuse }

func (refusal) reply() {}
func (*answer) reply() {}

// Handler returns the HTTP interface for callers.
func (d *Driver) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/call/{service}/{rank}/{path...}", d.serveCall)
	return mux
}

func (d *Driver) serveCall(w http.ResponseWriter, r *http.Request) {
	deadline, err := parseDeadline(r.Header.Get(headerDeadline))
	if err != nil {
		writeRefusal(w, classifier.MalformedRequest, classifier.OutcomeNotRun)
		return
	}
	rank, code := d.rank(r)
	if code != classifier.OK {
		writeRefusal(w, code, classifier.OutcomeNotRun)
		return
	}
	c := &call{request: r, path: upstreamPath(r), reply: make(chan reply, 1)}
	if code := c.readBody(w, rank); code != classifier.OK {
		writeRefusal(w, code, classifier.OutcomeNotRun)
		return
	}
	id := d.arrive(c, rank, deadline)
	select {
	case rep := <-c.reply:
		d.write(w, rep)
	case <-r.Context().Done():
		d.abandon(id)
	}
}

func upstreamPath(r *http.Request) string {
	p := "/" + r.PathValue("path")
	if r.URL.RawQuery != "" {
		p += "?" + r.URL.RawQuery
	}
	return p
}

func parseDeadline(s string) (time.Time, error) {
	if s == "" {
		return time.Time{}, nil
	}
	return time.Parse(time.RFC3339Nano, s)
}

func (d *Driver) rank(r *http.Request) (patcher.Rank, classifier.Code) {
	var rank patcher.Rank
	var code classifier.Code
	d.View(func(n *reducer.Node) { rank, code = n.Rank(r.PathValue("service"), r.PathValue("rank")) })
	return rank, code
}

// readBody holds the body if it may have to be sent again or hashed.
func (c *call) readBody(w http.ResponseWriter, rank patcher.Rank) classifier.Code {
	r := c.request
	if r.ContentLength > rank.MaxBody {
		return classifier.BodyTooLarge
	}
	r.Body = http.MaxBytesReader(w, r.Body, rank.MaxBody)
	if rank.Kind != patcher.OnceOnly && (r.ContentLength < 0 || r.ContentLength > maxReplayable) {
		return classifier.OK
	}
	body, err := io.ReadAll(r.Body)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return classifier.BodyTooLarge
	}
	if err != nil {
		return classifier.MalformedRequest
	}
	c.body = body
	return classifier.OK
}

func (d *Driver) arrive(c *call, rank patcher.Rank, deadline time.Time) reducer.RequestID {
	d.mu.Lock()
	defer d.mu.Unlock()
	id := d.newID()
	d.calls[id] = c
	d.step(reducer.RequestArrived{
		Stamp: stamp(), ID: id,
		Service: c.request.PathValue("service"), Rank: rank.Name,
		Deadline: deadline, Key: c.request.Header.Get(headerKey),
		BodyDigest: xxhash.Sum64(c.body), BodySize: c.request.ContentLength,
		Replayable: c.body != nil,
	})
	return id
}

func (d *Driver) abandon(id reducer.RequestID) {
	d.mu.Lock()
	if _, ok := d.calls[id]; ok {
		delete(d.calls, id)
		d.step(reducer.CallerGone{Stamp: stamp(), ID: id})
	}
	d.mu.Unlock()
}

// end hands a reply to the caller's goroutine; it reports false if the caller is gone.
func (d *Driver) end(id reducer.RequestID, rep reply) bool {
	c, ok := d.calls[id]
	if !ok {
		return false
	}
	delete(d.calls, id)
	c.reply <- rep
	return true
}

func (d *Driver) write(w http.ResponseWriter, rep reply) {
	switch rep := rep.(type) {
	case refusal:
		writeRefusal(w, rep.Code, rep.Outcome)
	case *answer:
		d.writeAnswer(w, rep)
	}
}

// writeAnswer relays an answer; if it breaks off, the connection is aborted so
// that the caller can't take the part for the whole.
func (d *Driver) writeAnswer(w http.ResponseWriter, a *answer) {
	defer a.close()
	copyHeaders(w.Header(), a.header)
	w.Header().Set("Azuretrestle-Outcome", classifier.OutcomeDone.String())
	if a.whole {
		w.Header().Set("Content-Length", strconv.Itoa(len(a.held)))
	}
	w.WriteHeader(a.status)
	_, err := w.Write(a.held)
	if a.whole {
		return
	}
	if err == nil {
		_, err = io.Copy(w, a.rest)
	}
	d.post(func(s reducer.Stamp) reducer.Event {
		return reducer.UpstreamFinished{Stamp: s, Attempt: a.id, Truncated: err != nil}
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}

type wireRefusal struct {
	Code    classifier.Code
	Name    string
	Text    string
	Outcome string
}

func writeRefusal(w http.ResponseWriter, code classifier.Code, outcome classifier.Outcome) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Azuretrestle-Code", strconv.Itoa(int(code)))
	w.Header().Set("Azuretrestle-Outcome", outcome.String())
	w.WriteHeader(code.Status())
	_ = json.NewEncoder(w).Encode(wireRefusal{Code: code, Name: code.String(), Text: code.Text(), Outcome: outcome.String()})
}

// hopHeaders belong to one connection and are not passed on.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

func copyHeaders(dst, src http.Header) {
	named := make(map[string]bool)
	for _, v := range src["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for k, vs := range src {
		if !hopHeaders[k] && !named[k] {
			dst[k] = append([]string(nil), vs...)
		}
	}
}
