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

const copyBufferSize = 32 << 10

// reply is the final result of a call, which is written to the caller.
type reply interface{ reply() }

type (
	refusal      struct{ reducer.Refuse }
	storedReply  struct{ reducer.AnswerStored }
	entriesReply struct{ reducer.AnswerEntries }
	keysReply    struct{ reducer.AnswerKeys }
)

func (refusal) reply()      {}
func (storedReply) reply()  {}
func (entriesReply) reply() {}
func (keysReply) reply()    {}
func (*response) reply()    {}

// response is an upstream's response whose first part is buffered.
type response struct {
	attempt *attempt
	status  int
	header  http.Header
	// size is the length of the body, -1 if not known.
	size     int64
	buffered bodyBuffer
	// complete is set if buffered holds the whole body.
	complete bool
	rest     io.ReadCloser
}

func (r *response) close() {
	_ = r.rest.Close()
	r.buffered.release()
	r.attempt.cancel()
	r.attempt.releasePool()
}

// writeReply writes a reply to the caller and returns the result code for the metrics.
func (d *Driver) writeReply(w http.ResponseWriter, r *http.Request, rep reply) classifier.Code {
	d.setWriteDeadline(w)
	if d.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	switch rep := rep.(type) {
	case refusal:
		if d.codec != nil {
			d.refuseRoute(w, rep.Refuse)
			return rep.Code
		}
		writeRefusal(w, rep.Refuse)
		return rep.Code
	case storedReply:
		writeStored(w, rep)
	case entriesReply:
		writeEntries(w, rep)
	case keysReply:
		writeJSON(w, http.StatusOK, wireKeys{Keys: rep.Keys})
	case *response:
		defer rep.close()
		d.writeResponse(w, r, rep)
	}
	return classifier.OK
}

// setWriteDeadline bounds the next write, so that a caller that does not read
// does not hold resources for long.
func (d *Driver) setWriteDeadline(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(d.stallTimeout))
}

func (d *Driver) writeResponse(w http.ResponseWriter, r *http.Request, resp *response) {
	h := w.Header()
	copyHeaders(h, resp.header)
	if d.codec == nil {
		for _, name := range []string{headerLoad, headerDraining, headerNotRun, headerCode} {
			delete(h, name)
		}
		h[headerOutcome] = outcomeDone
	}
	if resp.complete && r.Method != http.MethodHead && resp.status >= http.StatusOK && resp.status != http.StatusNoContent && resp.status != http.StatusNotModified {
		h["Content-Length"] = []string{strconv.Itoa(len(resp.buffered.body))}
	}
	w.WriteHeader(resp.status)
	_, err := w.Write(resp.buffered.body)
	if resp.complete {
		return
	}
	d.streamRest(w, r, resp, err)
}

var outcomeDone = []string{classifier.OutcomeDone.String()}

// streamRest relays the rest of a response. If that fails, it aborts the
// connection, so that the caller cannot take a truncated body for a complete one.
func (d *Driver) streamRest(w http.ResponseWriter, r *http.Request, resp *response, err error) {
	if err == nil {
		err = d.copyRest(w, resp)
	}
	var upstreamErr *upstreamError
	switch {
	case err == nil:
		d.reportFinished(resp, false)
		return
	case errors.As(err, &upstreamErr) && r.Context().Err() == nil:
		d.reportFinished(resp, true)
	default:
		id := resp.attempt.id.Request
		d.post(func(s reducer.Stamp) reducer.Event { return reducer.CallerDisconnected{Stamp: s, ID: id} })
	}
	panic(http.ErrAbortHandler)
}

func (d *Driver) reportFinished(resp *response, truncated bool) {
	d.post(func(s reducer.Stamp) reducer.Event {
		return reducer.UpstreamFinished{Stamp: s, Attempt: resp.attempt.id, Truncated: truncated}
	})
}

// upstreamError is a failed read from the upstream, as opposed to a failed write to the caller.
type upstreamError struct{ error }

// copyRest copies the rest of the body. It renews the deadlines on both sides for each chunk.
func (d *Driver) copyRest(w http.ResponseWriter, resp *response) error {
	control := http.NewResponseController(w)
	stallTimer := time.AfterFunc(d.stallTimeout, resp.attempt.cancel)
	defer stallTimer.Stop()
	buf := make([]byte, copyBufferSize)
	for {
		n, err := resp.rest.Read(buf)
		if n > 0 {
			_ = control.SetWriteDeadline(time.Now().Add(d.stallTimeout))
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
		stallTimer.Reset(d.stallTimeout)
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

func writeStored(w http.ResponseWriter, s storedReply) {
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

// hopHeaders are the hop-by-hop headers, which are not forwarded.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// copyHeaders copies the end-to-end headers. It shares the value slices, which
// neither side modifies.
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
