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
	// maxReplayable bounds a request body that is buffered for a retry, in bytes.
	maxReplayable = 256 << 10
	// maxBufferedResponse bounds the part of a response that is buffered before it is relayed, in bytes.
	maxBufferedResponse = 256 << 10
	// maxBufferedTotal bounds the buffered bodies of all requests and responses together, in bytes.
	maxBufferedTotal = 256 << 20
	// largeBody is the size from which a body is large, in bytes. The memory for a large body
	// is taken as its bytes arrive, since a peer may declare a length and send nothing.
	largeBody = 1 << 20
	// readChunkSize is the chunk size in which a body of unknown length is read, in bytes.
	readChunkSize = 32 << 10
	// defaultStallTimeout ends a transfer that moves no byte for this long.
	defaultStallTimeout = 10 * time.Second
)

var errMemoryLimit = errors.New("memory limit for buffered bodies reached")

// memoryBudget bounds the bytes of buffered bodies.
type memoryBudget struct {
	limit int64
	used  atomic.Int64
}

func (m *memoryBudget) reserve(n int64) bool {
	if m.used.Add(n) <= m.limit {
		return true
	}
	m.used.Add(-n)
	return false
}

func (m *memoryBudget) release(n int64) { m.used.Add(-n) }

// bodyBuffer is a body buffered in memory.
type bodyBuffer struct {
	budget   *memoryBudget
	body     []byte
	reserved int64
}

// read buffers at most limit bytes of r, whose length is size, or -1 if not
// known. It returns io.EOF at the end of r. It stops early with
// errMemoryLimit, and the bytes read until then stay buffered.
func (b *bodyBuffer) read(r io.Reader, size, limit int64) error {
	known := size >= 0 && size <= limit
	if known && size <= largeBody {
		return b.readFull(r, size)
	}
	if known {
		limit = size
	}
	for int64(len(b.body)) < limit {
		n, err := b.readChunk(r, limit)
		switch {
		case errors.Is(err, io.EOF) && known:
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		case n == 0:
			return io.ErrNoProgress
		}
	}
	if known {
		return io.EOF
	}
	return nil
}

func (b *bodyBuffer) readFull(r io.Reader, size int64) error {
	if !b.budget.reserve(size) {
		return errMemoryLimit
	}
	b.reserved += size
	b.body = make([]byte, size)
	if _, err := io.ReadFull(r, b.body); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return err
	}
	return io.EOF
}

// readChunk reads a part of a body of at most limit bytes.
func (b *bodyBuffer) readChunk(r io.Reader, limit int64) (int, error) {
	length := int64(len(b.body))
	size := min(readChunkSize, limit-length)
	if int64(cap(b.body))-length < size {
		grown := min(max(int64(cap(b.body))*2, length+size), limit)
		if !b.budget.reserve(grown - b.reserved) {
			return 0, errMemoryLimit
		}
		b.reserved = grown
		body := make([]byte, length, grown)
		copy(body, b.body)
		b.body = body
	}
	n, err := io.ReadAtLeast(r, b.body[length:length+size], 1)
	b.body = b.body[:length+int64(n)]
	return n, err
}

func (b *bodyBuffer) release() {
	b.budget.release(b.reserved)
	b.reserved = 0
}

// callerBody is the body of a caller's request. Each read has its own deadline,
// so that a stalled sender does not hold resources for long, while a long upload
// may continue.
type callerBody struct {
	io.Reader
	control  *http.ResponseController
	timeout  time.Duration
	firstErr atomic.Pointer[error]
}

// Read reads from the body and records the first error other than io.EOF.
func (b *callerBody) Read(p []byte) (int, error) {
	_ = b.control.SetReadDeadline(time.Now().Add(b.timeout))
	n, err := b.Reader.Read(p)
	if err != nil {
		// The server detects a disconnect by reading, and that read must not time out.
		_ = b.control.SetReadDeadline(time.Time{})
		if !errors.Is(err, io.EOF) {
			b.firstErr.CompareAndSwap(nil, &err)
		}
	}
	return n, err
}

// code returns the result code for a body that could not be read, or OK if no read failed.
func (b *callerBody) code() classifier.Code {
	if b == nil {
		return classifier.OK
	}
	err := b.firstErr.Load()
	if err == nil {
		return classifier.OK
	}
	var tooLarge *http.MaxBytesError
	if errors.As(*err, &tooLarge) {
		return classifier.BodyTooLarge
	}
	return classifier.MalformedRequest
}

// readBody buffers the body if it may have to be sent again or hashed. Unless the
// request is once-only, a body is streamed if its length is unknown or if it is too
// large for a retry or for the memory left.
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
		control: http.NewResponseController(w), timeout: d.stallTimeout,
	}
	c.buffered.budget = &d.bodyMemory
	if !c.onceOnly && (r.ContentLength < 0 || r.ContentLength > maxReplayable) {
		return classifier.OK
	}
	// The limit is one byte above the maximum, so that a larger body causes an error.
	err := c.buffered.read(c.upload, r.ContentLength, rank.MaxBody+1)
	switch {
	case errors.Is(err, io.EOF):
		c.upload = nil
		c.replayable = true
		return classifier.OK
	case errors.Is(err, errMemoryLimit) && !c.onceOnly:
		return classifier.OK
	case errors.Is(err, errMemoryLimit):
		return classifier.QueueFull
	case c.upload.code() != classifier.OK:
		return c.upload.code()
	default:
		return classifier.MalformedRequest
	}
}
