package driver

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/azuretrestle/azuretrestle/pkg/classifier"
	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

const (
	// maxReplayable bounds a request body that is held for a repeat, in bytes.
	maxReplayable = 256 << 10
	// maxHeld bounds the part of an answer that is held before it is relayed, in bytes.
	maxHeld = 256 << 10
	// maxMemory bounds the bodies held by all requests and answers together, in bytes.
	maxMemory = 256 << 20
	// readStep is the amount by which a body of unknown length is read.
	readStep = 32 << 10
	// progressPatience ends a transfer that moves no byte for this long.
	progressPatience = 10 * time.Second
)

var errMemory = errors.New("no memory left for bodies")

// memory counts the bytes of held bodies.
type memory struct {
	limit int64
	held  atomic.Int64
}

func (m *memory) take(n int64) bool {
	if m.held.Add(n) <= m.limit {
		return true
	}
	m.held.Add(-n)
	return false
}

func (m *memory) free(n int64) { m.held.Add(-n) }

// holding is a body held in memory.
type holding struct {
	memory *memory
	body   []byte
	taken  int64
}

// read holds at most limit bytes of r, whose length is size, or -1 if not
// known. It stops early with errMemory; what was read before stays held.
func (h *holding) read(r io.Reader, size, limit int64) error {
	if size >= 0 && size <= limit {
		return h.exactly(r, size)
	}
	for int64(len(h.body)) < limit {
		step := min(readStep, limit-int64(len(h.body)))
		n, err := h.more(r, step)
		if errors.Is(err, io.EOF) {
			return io.EOF
		}
		if err != nil {
			return err
		}
		if n == 0 {
			return io.ErrNoProgress
		}
	}
	return nil
}

func (h *holding) exactly(r io.Reader, size int64) error {
	if !h.memory.take(size) {
		return errMemory
	}
	h.taken += size
	h.body = make([]byte, size)
	if _, err := io.ReadFull(r, h.body); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return err
	}
	return io.EOF
}

func (h *holding) more(r io.Reader, step int64) (int, error) {
	if int64(cap(h.body)-len(h.body)) < step {
		grown := max(int64(cap(h.body))*2, int64(len(h.body))+step)
		if !h.memory.take(grown - h.taken) {
			return 0, errMemory
		}
		h.taken = grown
		body := make([]byte, len(h.body), grown)
		copy(body, h.body)
		h.body = body
	}
	n, err := io.ReadAtLeast(r, h.body[len(h.body):int64(len(h.body))+step], 1)
	h.body = h.body[:len(h.body)+n]
	return n, err
}

func (h *holding) release() {
	h.memory.free(h.taken)
	h.taken = 0
}

// callerBody is a caller's body; each read has a deadline of its own, so that
// a slow sender holds nothing for long while a long upload may go on.
type callerBody struct {
	io.Reader
	control  *http.ResponseController
	patience time.Duration
	failure  atomic.Pointer[error]
}

// Read reads and keeps the first failure.
func (b *callerBody) Read(p []byte) (int, error) {
	_ = b.control.SetReadDeadline(time.Now().Add(b.patience))
	n, err := b.Reader.Read(p)
	if err != nil {
		// The server watches for a hang-up by reading, which must not time out.
		_ = b.control.SetReadDeadline(time.Time{})
		if !errors.Is(err, io.EOF) {
			b.failure.CompareAndSwap(nil, &err)
		}
	}
	return n, err
}

// code returns the result code of a body that could not be read, OK if there was no failure.
func (b *callerBody) code() classifier.Code {
	if b == nil {
		return classifier.OK
	}
	err := b.failure.Load()
	if err == nil {
		return classifier.OK
	}
	var tooLarge *http.MaxBytesError
	if errors.As(*err, &tooLarge) {
		return classifier.BodyTooLarge
	}
	return classifier.MalformedRequest
}

// readBody holds the body if it may have to be sent again or hashed. A body
// that is too large for that, or for the memory left, is streamed unless it is
// once-only.
func (d *Driver) readBody(c *call, w http.ResponseWriter, rank patcher.Rank) classifier.Code {
	r := c.request
	if r.ContentLength > rank.MaxBody {
		return classifier.BodyTooLarge
	}
	if r.ContentLength == 0 {
		c.replayable = true
		return classifier.OK
	}
	c.upload = &callerBody{
		Reader:  http.MaxBytesReader(w, r.Body, rank.MaxBody),
		control: http.NewResponseController(w), patience: d.progress,
	}
	c.held.memory = &d.memory
	if !c.onceOnly && (r.ContentLength < 0 || r.ContentLength > maxReplayable) {
		return classifier.OK
	}
	// One byte more than allowed, so that the limit shows as an error.
	err := c.held.read(c.upload, r.ContentLength, rank.MaxBody+1)
	switch {
	case errors.Is(err, io.EOF):
		c.upload = nil
		c.replayable = true
		return classifier.OK
	case errors.Is(err, errMemory) && !c.onceOnly:
		return classifier.OK
	case errors.Is(err, errMemory):
		return classifier.QueueFull
	case c.upload.code() != classifier.OK:
		return c.upload.code()
	default:
		return classifier.MalformedRequest
	}
}
