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
	// defaultStallTimeout ends a transfer that moves no byte for this long.
	defaultStallTimeout = 10 * time.Second
)

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
	c.buffered = d.bodyMemory.request()
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
