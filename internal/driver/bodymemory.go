package driver

import (
	"io"
	"sync/atomic"

	"github.com/pkg/errors"
)

const (
	// maxBufferedTotal bounds the buffered bodies of all requests and responses together, in bytes.
	maxBufferedTotal = 256 << 20
	// largeBody is the size from which a body is large, in bytes. The memory for a large body
	// is taken as its bytes arrive, since a peer may declare a length and send nothing.
	largeBody = 1 << 20
	// readChunkSize is the chunk size in which a body of unknown length is read, in bytes.
	readChunkSize = 32 << 10
)

var errMemoryLimit = errors.New("memory limit for buffered bodies reached")

// memoryBudget bounds the bytes of buffered bodies.
type memoryBudget struct {
	limit int64
	used  atomic.Int64
	// parent also counts the bytes; nil if there is none.
	parent *memoryBudget
	// rejected counts the bodies for which there was no room.
	rejected atomic.Uint64
}

func (m *memoryBudget) reserve(n int64) bool {
	if m.parent != nil && !m.parent.reserve(n) {
		return false
	}
	if m.used.Add(n) <= m.limit {
		return true
	}
	m.release(n)
	return false
}

func (m *memoryBudget) release(n int64) {
	m.used.Add(-n)
	if m.parent != nil {
		m.parent.release(n)
	}
}

// bodyMemory is the memory for the buffered bodies of all requests and responses. Large
// bodies get a part of it, and large responses a part of that, so that upstreams or
// callers that send without end can't keep the bodies of others from being buffered.
type bodyMemory struct {
	total, large, largeResponses memoryBudget
}

// newBodyMemory returns a memory of limit bytes. A quarter of it is left to bodies that are
// not large, and half of it to requests whatever upstreams send.
func newBodyMemory(limit int64) *bodyMemory {
	m := &bodyMemory{}
	m.total.limit = limit
	m.large.limit = limit * 3 / 4
	m.large.parent = &m.total
	m.largeResponses.limit = limit / 4
	m.largeResponses.parent = &m.large
	return m
}

// rejectedSmall returns the number of bodies for which there was no room although they were
// not large.
func (m *bodyMemory) rejectedSmall() uint64 { return m.total.rejected.Load() }

// rejectedLarge returns the number of large bodies for which there was no room.
func (m *bodyMemory) rejectedLarge() uint64 {
	return m.large.rejected.Load() + m.largeResponses.rejected.Load()
}

// request returns an empty buffer for the body of a request.
func (m *bodyMemory) request() bodyBuffer { return bodyBuffer{memory: m, large: &m.large} }

// response returns an empty buffer for the body of a response.
func (m *bodyMemory) response() bodyBuffer {
	return bodyBuffer{memory: m, large: &m.largeResponses}
}

// bodyBuffer is a body buffered in memory.
type bodyBuffer struct {
	memory *bodyMemory
	// large counts the body once it is larger than largeBody; until then memory.total does.
	large    *memoryBudget
	body     []byte
	reserved int64
}

// budgetFor returns the budget that counts a body of the given size.
func (b *bodyBuffer) budgetFor(size int64) *memoryBudget {
	if size > largeBody {
		return b.large
	}
	return &b.memory.total
}

// reserve raises the reserved memory to size; it returns errMemoryLimit if a budget does
// not allow it.
func (b *bodyBuffer) reserve(size int64) error {
	from, to := b.budgetFor(b.reserved), b.budgetFor(size)
	more := size
	if from == to {
		more -= b.reserved
	}
	if !to.reserve(more) {
		to.rejected.Add(1)
		return errMemoryLimit
	}
	if from != to {
		from.release(b.reserved)
	}
	b.reserved = size
	return nil
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
	if err := b.reserve(size); err != nil {
		return err
	}
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
		if err := b.reserve(grown); err != nil {
			return 0, err
		}
		body := make([]byte, length, grown)
		copy(body, b.body)
		b.body = body
	}
	n, err := io.ReadAtLeast(r, b.body[length:length+size], 1)
	b.body = b.body[:length+int64(n)]
	return n, err
}

func (b *bodyBuffer) release() {
	b.budgetFor(b.reserved).release(b.reserved)
	b.reserved = 0
}
