package driver

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/azuretrestle/azuretrestle/internal/reducer"
	"github.com/azuretrestle/azuretrestle/pkg/classifier"
)

const copyBuffer = 32 << 10

// reply is what a call ends with.
type reply interface{ reply() }

type (
	refusal struct{ reducer.Refuse }
	stored  struct{ reducer.AnswerStored }
	entries struct{ reducer.AnswerEntries }
	keys    struct{ reducer.AnswerKeys }
)

func (refusal) reply() {}
func (stored) reply()  {}
func (entries) reply() {}
func (keys) reply()    {}
func (*answer) reply() {}

// answer is an upstream's response, of which the first part is held.
type answer struct {
	attempt *attempt
	status  int
	header  http.Header
	// size is the length of the body, -1 if not known.
	size int64
	held holding
	// whole is set if held is all of it.
	whole bool
	rest  io.ReadCloser
}

func (a *answer) close() {
	_ = a.rest.Close()
	a.held.release()
	a.attempt.cancel()
	a.attempt.finished()
}

// write gives a reply to the caller and returns the code to count.
func (d *Driver) write(w http.ResponseWriter, r *http.Request, rep reply) classifier.Code {
	d.limitWrite(w)
	if d.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	switch rep := rep.(type) {
	case refusal:
		if d.wire != nil {
			d.refuseRoute(w, rep.Refuse)
			return rep.Code
		}
		writeRefusal(w, rep.Refuse)
		return rep.Code
	case stored:
		writeStored(w, rep)
	case entries:
		writeEntries(w, rep)
	case keys:
		writeJSON(w, http.StatusOK, wireKeys{Keys: rep.Keys})
	case *answer:
		defer rep.close()
		d.writeAnswer(w, r, rep)
	}
	return classifier.OK
}

// limitWrite bounds the next write, so that a caller that does not read holds nothing for long.
func (d *Driver) limitWrite(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(d.progress))
}

func (d *Driver) writeAnswer(w http.ResponseWriter, r *http.Request, a *answer) {
	h := w.Header()
	copyHeaders(h, a.header)
	if d.wire == nil {
		for _, name := range []string{headerLoad, headerDraining, headerNotRun, headerCode} {
			delete(h, name)
		}
		h[headerOutcome] = outcomeDone
	}
	if a.whole && r.Method != http.MethodHead && a.status >= http.StatusOK && a.status != http.StatusNoContent && a.status != http.StatusNotModified {
		h["Content-Length"] = []string{strconv.Itoa(len(a.held.body))}
	}
	w.WriteHeader(a.status)
	_, err := w.Write(a.held.body)
	if a.whole {
		return
	}
	d.stream(w, r, a, err)
}

var outcomeDone = []string{classifier.OutcomeDone.String()}

// stream passes on the rest of an answer. If it breaks off, the connection is
// aborted, so that the caller can't take the part for the whole.
func (d *Driver) stream(w http.ResponseWriter, r *http.Request, a *answer, err error) {
	if err == nil {
		err = d.copyRest(w, a)
	}
	var fromUpstream *upstreamError
	switch {
	case err == nil:
		d.finishedAnswer(a, false)
		return
	case errors.As(err, &fromUpstream) && r.Context().Err() == nil:
		d.finishedAnswer(a, true)
	default:
		id := a.attempt.id.Request
		d.post(func(s reducer.Stamp) reducer.Event { return reducer.CallerGone{Stamp: s, ID: id} })
	}
	panic(http.ErrAbortHandler)
}

func (d *Driver) finishedAnswer(a *answer, truncated bool) {
	d.post(func(s reducer.Stamp) reducer.Event {
		return reducer.UpstreamFinished{Stamp: s, Attempt: a.attempt.id, Truncated: truncated}
	})
}

// upstreamError is a failure to read from the upstream, as opposed to one to write to the caller.
type upstreamError struct{ error }

// copyRest gives each piece a deadline of its own on both sides.
func (d *Driver) copyRest(w http.ResponseWriter, a *answer) error {
	control := http.NewResponseController(w)
	stuck := time.AfterFunc(d.progress, a.attempt.cancel)
	defer stuck.Stop()
	buf := make([]byte, copyBuffer)
	for {
		n, err := a.rest.Read(buf)
		if n > 0 {
			_ = control.SetWriteDeadline(time.Now().Add(d.progress))
			if _, werr := w.Write(buf[:n]); werr != nil {
				return werr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return &upstreamError{err}
		}
		if n < len(buf) {
			if ferr := control.Flush(); ferr != nil {
				return ferr
			}
		}
		stuck.Reset(d.progress)
	}
}

type wireRefusal struct {
	Code    classifier.Code
	Name    string
	Text    string
	Outcome string
	RetryAt *time.Time `json:",omitempty"`
}

func refuseRequest(code classifier.Code) refusal {
	return refusal{reducer.Refuse{Code: code, Outcome: classifier.OutcomeNotRun}}
}

func writeRefusal(w http.ResponseWriter, e reducer.Refuse) {
	w.Header().Set(headerCode, strconv.Itoa(int(e.Code)))
	w.Header().Set(headerOutcome, e.Outcome.String())
	out := wireRefusal{Code: e.Code, Name: e.Code.String(), Text: e.Code.Text(), Outcome: e.Outcome.String()}
	if !e.RetryAt.IsZero() {
		at := e.RetryAt.UTC()
		out.RetryAt = &at
	}
	writeJSON(w, e.Code.Status(), out)
}

func writeStored(w http.ResponseWriter, s stored) {
	w.Header().Set(headerOutcome, classifier.OutcomeDone.String())
	w.Header().Set(headerStored, "true")
	if s.ContentType != "" {
		w.Header().Set("Content-Type", s.ContentType)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(s.Body)))
	w.WriteHeader(s.Status)
	_, _ = w.Write(s.Body)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// hopHeaders belong to one connection and are not passed on.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// copyHeaders shares the value slices, which neither side changes in place.
func copyHeaders(dst, src http.Header) {
	for k, vs := range src {
		if !hopHeaders[k] {
			dst[k] = vs
		}
	}
	for _, v := range src["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			delete(dst, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
}
