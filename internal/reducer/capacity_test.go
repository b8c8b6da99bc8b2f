package reducer

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azuretrestle/azuretrestle/internal/sizer"
	"github.com/azuretrestle/azuretrestle/pkg/classifier"
)

// TestSlopePatch guards against a number of entries at which a patch is no
// longer in effect at all entries, and answered as accepted, within 6 s,
// although nothing fails.
func TestSlopePatch(t *testing.T) {
	const patches, bound = 6, 6 * time.Second
	for _, entries := range []int{6, 12, 24, 36, 60} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			is := is.New(t)
			l := newLab(t, labNames(entries)...)
			is.True(l.until(30*time.Second, func() bool { return l.stale() == 0 }))
			accepted := 0
			var effect, answer time.Duration
			for i := range uint64(patches) {
				asked := l.now
				id := l.submit(l.names[int(i)%entries], labPatch(fmt.Sprint("p", i), i))
				is.True(l.until(bound, func() bool { return l.oldest() == i+1 }))
				effect = max(effect, l.now.Sub(asked))
				is.True(l.until(bound+time.Second, func() bool { _, ok := l.patches[id]; return ok }))
				answer = max(answer, l.now.Sub(asked))
				if l.patches[id].Code == classifier.OK {
					accepted++
				}
				l.run(2 * time.Second)
			}
			t.Log(sizer.Sample{Quantity: "patch-effect-ms", Size: entries, Value: float64(effect.Milliseconds())})
			t.Log(sizer.Sample{Quantity: "patch-answer-ms", Size: entries, Value: float64(answer.Milliseconds())})
			t.Log(sizer.Sample{Quantity: "patch-accepted-%", Size: entries, Value: 100 * float64(accepted) / patches})
			is.Equal(accepted, patches)
		})
	}
}

const labRegions = 4

func labNames(entries int) []string {
	var names []string
	for i := range entries {
		names = append(names, fmt.Sprintf("%c%02d", 'a'+i%labRegions, i))
	}
	return names
}

// stale returns the number of entries that take no new work.
func (l *lab) stale() int {
	inside, outside := l.serving('d')
	return len(l.names) - inside - outside
}

// TestRegionCut guards against a patch that is called accepted while an entry
// of a region without connection takes work at an earlier version, against a
// rest that stops with it, and against a cut that outlasts its repair. The lab
// checks at every step that no entry takes work at an older version 6 s later.
func TestRegionCut(t *testing.T) {
	// Three entries in each region are the largest number that accepts patches in time.
	const regions, each, length = labRegions, 3, 3 * time.Minute
	const bound = 6 * time.Second
	for _, c := range []struct {
		name             string
		at               string
		cutLog, restLog  bool
		code             classifier.Code
		cutGoes, expects bool
	}{
		{"LogWithRest", "a00", false, true, classifier.OK, false, true},
		{"LogEverywhere", "a00", true, true, classifier.OK, true, true},
		{"LogWithRegion", "a00", true, false, classifier.LogUnavailable, true, false},
		{"AtRegionWithLog", "d03", true, false, classifier.PatchPending, true, true},
		{"LogNowhere", "a00", false, false, classifier.LogUnavailable, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			names := labNames(regions * each)
			l := newLab(t, names...)
			is.True(l.until(30*time.Second, func() bool { return l.stale() == 0 }))
			is.Equal(l.put("a00", "p1", 0).Code, classifier.OK)
			l.cut = func(a, b string) bool { return (a[0] == 'd') != (b[0] == 'd') }
			for _, name := range names {
				reaches := c.restLog
				if name[0] == 'd' {
					reaches = c.cutLog
				}
				l.nodes[name].noLog = !reaches
			}
			l.run(length / 2)
			cut, rest := l.serving('d')
			is.Equal(cut == each, c.cutGoes)
			is.Equal(cut == 0, !c.cutGoes)
			is.Equal(rest, (regions-1)*each) // the rest has a majority
			asked := l.now
			a := l.put(c.at, "p2", 1)
			is.Equal(a.Code, c.code)
			t.Log(sizer.Sample{Quantity: "patch-" + c.name + "-ms", Size: regions * each, Value: float64(l.now.Sub(asked).Milliseconds())})
			l.run(length / 2)
			l.cut = func(string, string) bool { return false }
			for _, name := range names {
				l.nodes[name].noLog = false
			}
			healed := l.now
			is.True(l.until(bound, func() bool {
				cut, rest := l.serving('d')
				return cut == each && rest == (regions-1)*each && l.oldest() == l.newest()
			}))
			t.Log(sizer.Sample{Quantity: "repaired-" + c.name + "-ms", Size: regions * each, Value: float64(l.now.Sub(healed).Milliseconds())})
			is.Equal(l.newest() == 2, c.expects)
		})
	}
}

// serving returns how many entries of a region, and how many others, take new work.
func (l *lab) serving(region byte) (inside, outside int) {
	for _, name := range l.names {
		if l.nodes[name].node.refusal() != classifier.OK {
			continue
		}
		if name[0] == region {
			inside++
		} else {
			outside++
		}
	}
	return inside, outside
}

func (l *lab) newest() uint64 {
	var v uint64
	for _, name := range l.names {
		v = max(v, l.nodes[name].node.Config().Version)
	}
	return v
}

func (l *lab) oldest() uint64 {
	v := l.newest()
	for _, name := range l.names {
		v = min(v, l.nodes[name].node.Config().Version)
	}
	return v
}
