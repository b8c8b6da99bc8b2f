package versioner

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

// stream builds records. Its patches have no operations, so each accepted patch adds 1
// to the version.
type stream struct {
	t    *testing.T
	list []Record
}

func (s *stream) add(payload []byte, err error) {
	s.t.Helper()
	if err != nil {
		s.t.Fatal(err)
	}
	s.list = append(s.list, Record{Offset: uint64(len(s.list)), Payload: payload})
}

func (s *stream) patch(id string, base uint64) { s.add(EncodePatch(patcher.Patch{ID: id, Base: base})) }

func (s *stream) checkpoint(version, next uint64) {
	c := Checkpoint{Config: &patcher.Config{Version: version}, Next: next}
	for i := range version {
		c.Recent = append(c.Recent, PatchOutcome{ID: fmt.Sprint(i), Accepted: true, Version: i + 1})
	}
	s.add(EncodeCheckpoint(c))
}

// TestRead guards against nodes that derive different versions from the same stream,
// and against a node that adopts an older checkpoint or one that does not cover the
// expired records.
func TestRead(t *testing.T) {
	tests := []struct {
		name  string
		first uint64
		build func(*stream)
		want  uint64
		gap   bool
	}{
		{"in order", 0, func(s *stream) { s.patch("0", 0); s.patch("1", 1) }, 2, false},
		{"two patches with the same base", 0, func(s *stream) { s.patch("0", 0); s.patch("x", 0) }, 1, false},
		{"repeated record", 0, func(s *stream) { s.patch("0", 0); s.patch("0", 0); s.patch("0", 1) }, 1, false},
		{"refused patch repeated on its base", 0, func(s *stream) { s.patch("x", 1); s.patch("0", 0); s.patch("x", 1) }, 1, false},
		{"unreadable records", 0, func(s *stream) { s.add([]byte("{"), nil); s.add(nil, nil); s.patch("0", 0) }, 1, false},
		{"patch too large", 0, func(s *stream) {
			s.add([]byte(`{"Patch":{"ID":"x","Actor":"`+strings.Repeat("a", MaxPatch)+`"}}`), nil)
			s.patch("0", 0)
		}, 1, false},
		{"checkpoint of another state within the stream", 0, func(s *stream) { s.patch("0", 0); s.checkpoint(9, 1) }, 1, false},
		{"expired records without a checkpoint", 2, func(s *stream) { s.patch("0", 0); s.patch("1", 1); s.patch("2", 2) }, 0, true},
		{"checkpoint covers expired records", 1, func(s *stream) { s.patch("0", 0); s.patch("1", 1); s.checkpoint(1, 1); s.patch("2", 2) }, 3, false},
		{"patch identifier in a checkpoint", 1, func(s *stream) { s.patch("0", 0); s.checkpoint(1, 1); s.patch("0", 1) }, 1, false},
		{"stale checkpoint", 3, func(s *stream) { s.patch("0", 0); s.patch("1", 1); s.patch("2", 2); s.checkpoint(1, 1) }, 0, true},
		{"stale checkpoint, then one that covers", 3, func(s *stream) {
			for i := range uint64(4) {
				s.patch(fmt.Sprint(i), i)
			}
			s.checkpoint(1, 1)
			s.checkpoint(4, 4)
			s.patch("4", 4)
		}, 5, false},
		{"invalid checkpoint", 1, func(s *stream) {
			s.patch("0", 0)
			s.add([]byte(`{"Checkpoint":{"Config":{"Version":7,"Services":[{"Name":""}]},"Next":1}}`), nil)
		}, 0, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := &stream{t: t}
			tt.build(s)
			whole := NewLog()
			whole.Read(tt.first, s.list[tt.first:])
			is.Equal(whole.Config().Version, tt.want)
			is.Equal(whole.Gap(), tt.gap)
			paged := NewLog()
			for i := int(tt.first); i < len(s.list); i++ {
				paged.Read(tt.first, s.list[max(0, i-1):i+1])
			}
			is.Equal(paged.Config(), whole.Config())
			is.Equal(paged.Next(), uint64(len(s.list)))
			peer := NewLog()
			if list, ok := whole.Since(0, MaxPatch); ok {
				peer.Join(list)
				is.Equal(peer.Checkpoint(time.Time{}, nil), whole.Checkpoint(time.Time{}, nil))
			}
		})
	}
}

// TestAdopt guards against adopting an older state from a peer.
func TestAdopt(t *testing.T) {
	is := is.New(t)
	s := &stream{t: t}
	s.patch("0", 0)
	s.patch("1", 1)
	l := NewLog()
	l.Read(0, s.list)
	l.Adopt(Checkpoint{Config: &patcher.Config{Version: 1}, Next: 1})
	is.Equal(l.Config().Version, uint64(2))
	l.Adopt(Checkpoint{Config: &patcher.Config{Version: 1}, Next: 9})
	is.Equal(l.Config().Version, uint64(2))
	l.Read(20, nil)
	is.True(l.Gap())
	l.Adopt(Checkpoint{Config: &patcher.Config{Version: 5}, Next: 21})
	is.Equal(l.Config().Version, uint64(5))
	is.True(!l.Gap())
	is.Equal(l.Next(), uint64(21))
}
