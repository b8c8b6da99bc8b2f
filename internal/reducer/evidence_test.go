package reducer_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azuretrestle/azuretrestle/internal/checker"
	"github.com/azuretrestle/azuretrestle/internal/reducer"
	"github.com/azuretrestle/azuretrestle/internal/versioner"
)

const (
	// longFault exceeds the evidence period, the silence period and the 6 s of I7 together.
	longFault = 14 * time.Second
	// patchOffset is the time from the start of the run to the patch; faults start on both sides of it.
	patchOffset   = 4 * time.Second
	offsetStep    = 500 * time.Millisecond
	lookupPeriod  = 100 * time.Millisecond
	afterLongTime = 4 * time.Second
)

// longFlaw is a fault that lasts longer than evidence does.
type longFlaw struct {
	name   string
	inject func(s *scenario)
	// refuses names entries that must refuse work before the fault ends.
	refuses []int
	// serves names entries that must accept work throughout the fault.
	serves []int
}

var longFlaws = []longFlaw{
	{"log down", func(s *scenario) {
		s.logFate = func() fate { return fateLost }
		s.after(longFault, func() { s.logFate = nil })
	}, nil, []int{0, 1, 2, 3, 4}},
	{"entry isolated", func(s *scenario) { s.isolate(4) }, []int{4}, []int{0, 1, 2, 3}},
	{"submitter isolated", func(s *scenario) { s.isolate(0) }, []int{0}, []int{1, 2, 3, 4}},
	{"minority isolated", func(s *scenario) { s.isolate(3, 4) }, []int{3, 4}, []int{0, 1, 2}},
	{"entry paused", func(s *scenario) { s.hosts[4].pause(longFault) }, nil, []int{0, 1, 2, 3}},
	{"minority paused", func(s *scenario) { s.hosts[3].pause(longFault); s.hosts[4].pause(longFault) }, nil, []int{0, 1, 2}},
}

// isolate cuts hosts off from the log and from all other hosts for a long time.
func (s *scenario) isolate(hosts ...int) {
	for _, i := range hosts {
		s.hosts[i].isolated = true
		s.after(longFault, func() { s.hosts[i].isolated = false })
	}
}

// playLong runs lookups at every entry, a patch, and a fault that starts at an offset.
func playLong(f longFlaw, offset time.Duration) (s *scenario, from, to time.Time) {
	s = newScenarioOf("a", "b", "c", "d", "e")
	from = s.now.Add(offset)
	to = from.Add(longFault)
	s.after(offset, func() { f.inject(s) })
	s.after(patchOffset, func() { s.patch = s.hosts[0].submit(rename(40 * time.Millisecond)) })
	end := patchOffset + longFault + afterLongTime
	s.every(lookupPeriod, int(end/lookupPeriod), func() {
		for i := range s.hosts {
			s.lookup(i)
		}
	})
	s.runUntil(s.now.Add(end + operatorPatience))
	return s, from, to
}

// TestLongFaults guards against an entry that serves an old version (I7), or a
// majority that stops, while a fault outlasts the evidence that versions are current.
func TestLongFaults(t *testing.T) {
	for _, f := range longFlaws {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			for offset := time.Duration(0); offset <= 2*patchOffset; offset += offsetStep * stride {
				s, from, to := playLong(f, offset)
				for _, v := range s.violations() {
					t.Errorf("fault at %s: %s", offset, v)
				}
				is.True(s.patch.ended)
				for i, h := range s.hosts {
					refused := s.refusedWithin(h.name, from.Add(versioner.EvidencePeriod), to)
					if slices.Contains(f.refuses, i) && !refused {
						t.Errorf("fault at %s: %s accepts work without evidence", offset, h.name)
					}
					if slices.Contains(f.serves, i) && refused {
						t.Errorf("fault at %s: %s refuses work", offset, h.name)
					}
				}
			}
		})
	}
}

// refusedWithin reports whether an entry refused a request in a period.
func (w *world) refusedWithin(name string, from, to time.Time) bool {
	for _, r := range w.trace {
		s, ok := r.(checker.Step)
		if !ok || s.Node != name || s.At.Before(from) || !s.At.Before(to) {
			continue
		}
		for _, e := range s.Effects {
			if _, refuse := e.(reducer.Refuse); refuse {
				return true
			}
		}
	}
	return false
}
