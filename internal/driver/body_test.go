package driver

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/azuretrestle/azuretrestle/internal/faker"
	"github.com/azuretrestle/azuretrestle/pkg/classifier"
)

// chunkReader returns its chunks one by one, 5 ms apart, and then err.
type chunkReader struct {
	chunks [][]byte
	err    error
}

func (r *chunkReader) Read(p []byte) (int, error) {
	if len(r.chunks) == 0 {
		return 0, r.err
	}
	time.Sleep(5 * time.Millisecond)
	n := copy(p, r.chunks[0])
	r.chunks = r.chunks[1:]
	return n, nil
}

// TestBodies guards against request bodies that are truncated, sent twice or above
// the limit, whether buffered or streamed.
func TestBodies(t *testing.T) {
	big := bytes.Repeat([]byte{'x'}, 4<<20)
	for _, c := range []struct {
		name, rank string
		body       io.Reader
		status     int
		size       int
	}{
		{"empty", "Once", nil, 200, 0},
		{"buffered", "Lookup", strings.NewReader("abc"), 200, 3},
		{"once-only, large", "Once", bytes.NewReader(big), 200, len(big)},
		{"once-only, unknown length", "Once", io.MultiReader(bytes.NewReader(big)), 200, len(big)},
		{"streamed", "Lookup", bytes.NewReader(big), 200, len(big)},
		{"streamed, unknown length", "Lookup", &chunkReader{[][]byte{[]byte("a"), []byte("bc")}, io.EOF}, 200, 3},
		{"streamed, at the limit", "Lookup", bytes.NewReader(append(big, big...)), 200, 2 * len(big)},
		{"above the limit", "Lookup", bytes.NewReader(append(append(big, big...), 'x')), 413, 0},
		{"above the limit, unknown length", "Once", io.MultiReader(bytes.NewReader(big), bytes.NewReader(big), strings.NewReader("x")), 413, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestbed(t, 2, nil)
			r := b.do(http.MethodPost, "/call/S/"+c.rank+"/x", c.body)
			b.is.NoErr(r.err)
			b.is.Equal(r.status, c.status)
			if c.status == http.StatusOK {
				b.is.True(strings.HasSuffix(r.body, fmt.Sprint(" ", c.size, "\n")))
			}
			b.is.Equal(b.driver.bodyMemory.total.used.Load(), int64(0))
		})
	}
}

// TestDeclaredLength guards against memory that is taken for bytes which a peer has only
// declared, and against a body that is changed or truncated while its buffer grows.
func TestDeclaredLength(t *testing.T) {
	const size = 5<<20 + 3
	body := make([]byte, size)
	for i := range body {
		body[i] = byte(i >> 10)
	}
	for _, c := range []struct {
		name     string
		size     int64
		received int64
		err      error
	}{
		{"empty", 0, 0, io.EOF},
		{"small", 1000, 1000, io.EOF},
		{"not large", largeBody, largeBody, io.EOF},
		{"large", largeBody + 1, largeBody + 1, io.EOF},
		{"larger", size, size, io.EOF},
		{"small, truncated", 1000, 999, io.ErrUnexpectedEOF},
		{"larger, nothing received", size, 0, io.ErrUnexpectedEOF},
		{"larger, truncated", size, 2 << 20, io.ErrUnexpectedEOF},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			memory := newBodyMemory(1 << 30)
			b := memory.response()
			err := b.read(bytes.NewReader(body[:c.received]), c.size, 16<<20)
			is.Equal(err, c.err)
			if errors.Is(err, io.EOF) {
				is.True(bytes.Equal(b.body, body[:c.size]))
			}
			is.Equal(memory.total.used.Load(), b.reserved)
			is.True(b.reserved <= max(largeBody, 2*c.received))
			is.True(int64(cap(b.body)) <= b.reserved)
			b.release()
			is.Equal(memory.total.used.Load(), int64(0))
		})
	}
}

// endlessReader is a body without end.
type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) { return len(p), nil }

// TestLargeBodies guards against bodies without end that take all memory, so that the
// bodies of other requests and responses can't be buffered.
func TestLargeBodies(t *testing.T) {
	const limit, maxBody, count = 64 << 20, 16 << 20, 20
	for _, c := range []struct {
		name   string
		buffer func(m *bodyMemory) bodyBuffer
		// requestLeft is set if large requests still have memory.
		requestLeft bool
	}{
		{"responses", (*bodyMemory).response, true},
		{"requests", (*bodyMemory).request, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m := newBodyMemory(limit)
			var large []bodyBuffer
			failed := 0
			for range count {
				b := c.buffer(m)
				if err := b.read(endlessReader{}, -1, maxBody); err != nil {
					is.Equal(err, errMemoryLimit)
					b.release()
					failed++
					continue
				}
				large = append(large, b)
			}
			is.True(failed > 0)
			for _, size := range []int64{1, 20 << 10, largeBody / 2} {
				request, response := m.request(), m.response()
				is.Equal(request.read(bytes.NewReader(make([]byte, size)), size, maxBody), io.EOF)
				is.Equal(response.read(bytes.NewReader(make([]byte, size)), -1, maxBody), io.EOF)
				request.release()
				response.release()
			}
			upload := m.request()
			err := upload.read(bytes.NewReader(make([]byte, maxBody)), maxBody, maxBody)
			is.Equal(errors.Is(err, io.EOF), c.requestLeft)
			upload.release()
			for i := range large {
				large[i].release()
			}
			for _, b := range []*memoryBudget{&m.total, &m.large, &m.largeResponses} {
				is.Equal(b.used.Load(), int64(0))
			}
		})
	}
}

// TestMemoryLimit guards against buffered bodies that exceed the memory limit, and
// against idempotent requests that fail although their body and the response could
// be streamed.
func TestMemoryLimit(t *testing.T) {
	b := newTestbed(t, 1, nil)
	b.driver.bodyMemory = newBodyMemory(1000)
	body := strings.Repeat("x", 2000)
	r := b.do(http.MethodPost, "/call/S/Once/first", strings.NewReader(body))
	b.is.Equal(r.outcome, classifier.OutcomeNotRun)
	b.is.Equal(r.code, "201")
	b.upstreams[0].SetFaults(faker.Faults{AnswerBytes: 5000})
	r = b.do(http.MethodPost, "/call/S/Lookup/x", strings.NewReader(body))
	b.is.NoErr(r.err)
	b.is.Equal(len(r.body), 5000)
	b.is.Equal(b.driver.bodyMemory.total.used.Load(), int64(0))
}

// TestOutcomeBeforeNode checks the requests that the driver refuses before the
// node sees them. It guards against outcome NotRun for a once-only request whose
// key may have run in an earlier attempt, and against outcome Unknown where no
// earlier attempt can have run.
func TestOutcomeBeforeNode(t *testing.T) {
	b := newTestbed(t, 1, nil)
	b.driver.bodyMemory = newBodyMemory(1000)
	tooLarge := strings.Repeat("x", 8<<20+1)
	for _, c := range []struct {
		path, body, deadline string
		code                 classifier.Code
		idempotent           bool
	}{
		{path: "S/Removed", code: classifier.UnknownRank},
		{path: "Removed/Once", code: classifier.UnknownService},
		{path: "S/Once", body: tooLarge, code: classifier.BodyTooLarge},
		{path: "S/Once", body: tooLarge[:2000], code: classifier.QueueFull},
		{path: "S/Once", deadline: "soon", code: classifier.MalformedRequest},
		{path: "S/Lookup", body: tooLarge, code: classifier.BodyTooLarge, idempotent: true},
		{path: "S/Lookup", deadline: "soon", code: classifier.MalformedRequest, idempotent: true},
	} {
		for _, key := range []string{"", "k"} {
			for _, attempt := range []string{"", "1", "2"} {
				t.Run(fmt.Sprint(c.path, " ", c.code, " key=", key, " attempt=", attempt), func(t *testing.T) {
					r := httptest.NewRequest(http.MethodPost, "/call/"+c.path+"/x", strings.NewReader(c.body))
					r.Header.Set(headerKey, key)
					r.Header.Set(headerAttempt, attempt)
					r.Header.Set(headerDeadline, c.deadline)
					w := httptest.NewRecorder()
					b.driver.Handler().ServeHTTP(w, r)
					want := classifier.OutcomeNotRun
					if !c.idempotent && key != "" && attempt != "1" {
						want = classifier.OutcomeUnknown
					}
					is := is.New(t)
					is.Equal(w.Header().Get(headerCode), fmt.Sprint(uint16(c.code)))
					is.Equal(w.Header().Get(headerOutcome), want.String())
				})
			}
		}
	}
	b.is.Equal(b.executions(), 0)
}
