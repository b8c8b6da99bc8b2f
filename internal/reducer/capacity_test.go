package reducer

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azuretrestle/azuretrestle/internal/sizer"
	"github.com/azuretrestle/azuretrestle/pkg/classifier"
)

// TestSlopePatch guards against patches that, among many entries and without any
// fault, take more than 6 s to be in effect at all of them or are not answered as
// accepted.
func TestSlopePatch(t *testing.T) {
	const patches, bound = 6, 6 * time.Second
	for _, entries := range []int{6, 12, 24, 36, 60} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t, clusterNames(entries)...)
			is.True(c.runUntil(30*time.Second, func() bool { return c.refusingCount() == 0 }))
			accepted := 0
			var effect, answer time.Duration
			for i := range uint64(patches) {
				submittedAt := c.now
				id := c.submit(c.names[int(i)%entries], testPatch(fmt.Sprint("p", i), i))
				is.True(c.runUntil(bound, func() bool { return c.oldestVersion() == i+1 }))
				effect = max(effect, c.now.Sub(submittedAt))
				is.True(c.runUntil(bound+time.Second, func() bool { _, ok := c.patches[id]; return ok }))
				answer = max(answer, c.now.Sub(submittedAt))
				if c.patches[id].Code == classifier.OK {
					accepted++
				}
				c.run(2 * time.Second)
			}
			t.Log(sizer.Sample{Quantity: "patch-effect-ms", Size: entries, Value: float64(effect.Milliseconds())})
			t.Log(sizer.Sample{Quantity: "patch-answer-ms", Size: entries, Value: float64(answer.Milliseconds())})
			t.Log(sizer.Sample{Quantity: "patch-accepted-%", Size: entries, Value: 100 * float64(accepted) / patches})
			is.Equal(accepted, patches)
		})
	}
}

const clusterRegions = 4

func clusterNames(entries int) []string {
	var names []string
	for i := range entries {
		names = append(names, fmt.Sprintf("%c%02d", 'a'+i%clusterRegions, i))
	}
	return names
}

// refusingCount returns the number of entries that refuse new work.
func (c *cluster) refusingCount() int {
	inside, outside := c.servingByRegion('d')
	return len(c.names) - inside - outside
}

// TestRegionPartition guards against three failures while a region is partitioned: a
// patch is answered as accepted although an entry in that region still accepts work
// at an earlier version, the other regions stop as well, or the region does not
// recover once the partition ends. The cluster checks at every step that no entry
// accepts work at an older version more than 6 s after a version was accepted.
func TestRegionPartition(t *testing.T) {
	// With more than three entries in each region, patches are not accepted in time.
	const regions, perRegion, partitionLength = clusterRegions, 3, 3 * time.Minute
	const bound = 6 * time.Second
	for _, tt := range []struct {
		name string
		// submitTo is the entry to which the patch is submitted during the partition.
		submitTo string
		// insideLog and outsideLog are set if the entries inside and outside the
		// partitioned region reach the log.
		insideLog, outsideLog bool
		code                  classifier.Code
		// insideServes is set if the entries of the region accept work until the patch,
		// applied if the patch is in force after the partition.
		insideServes, applied bool
	}{
		{"LogWithRest", "a00", false, true, classifier.OK, false, true},
		{"LogEverywhere", "a00", true, true, classifier.OK, true, true},
		{"LogWithRegion", "a00", true, false, classifier.LogUnavailable, true, false},
		{"AtRegionWithLog", "d03", true, false, classifier.PatchPending, true, true},
		{"LogNowhere", "a00", false, false, classifier.LogUnavailable, false, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			names := clusterNames(regions * perRegion)
			c := newCluster(t, names...)
			is.True(c.runUntil(30*time.Second, func() bool { return c.refusingCount() == 0 }))
			is.Equal(c.submitAndWait("a00", "p1", 0).Code, classifier.OK)
			c.partitioned = func(a, b string) bool { return (a[0] == 'd') != (b[0] == 'd') }
			for _, name := range names {
				reaches := tt.outsideLog
				if name[0] == 'd' {
					reaches = tt.insideLog
				}
				c.nodes[name].logUnreachable = !reaches
			}
			c.run(partitionLength / 2)
			inside, outside := c.servingByRegion('d')
			is.Equal(inside == perRegion, tt.insideServes)
			is.Equal(inside == 0, !tt.insideServes)
			is.Equal(outside, (regions-1)*perRegion) // the other regions have a majority
			submittedAt := c.now
			a := c.submitAndWait(tt.submitTo, "p2", 1)
			is.Equal(a.Code, tt.code)
			t.Log(sizer.Sample{Quantity: "patch-" + tt.name + "-ms", Size: regions * perRegion, Value: float64(c.now.Sub(submittedAt).Milliseconds())})
			c.run(partitionLength / 2)
			c.partitioned = func(string, string) bool { return false }
			for _, name := range names {
				c.nodes[name].logUnreachable = false
			}
			repairedAt := c.now
			is.True(c.runUntil(bound, func() bool {
				inside, outside := c.servingByRegion('d')
				return inside == perRegion && outside == (regions-1)*perRegion && c.oldestVersion() == c.newestVersion()
			}))
			t.Log(sizer.Sample{Quantity: "repaired-" + tt.name + "-ms", Size: regions * perRegion, Value: float64(c.now.Sub(repairedAt).Milliseconds())})
			is.Equal(c.newestVersion() == 2, tt.applied)
		})
	}
}

// servingByRegion returns how many entries inside and outside a region accept new work.
func (c *cluster) servingByRegion(region byte) (inside, outside int) {
	for _, name := range c.names {
		if c.nodes[name].node.admissionCode() != classifier.OK {
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

func (c *cluster) newestVersion() uint64 {
	var v uint64
	for _, name := range c.names {
		v = max(v, c.nodes[name].node.Config().Version)
	}
	return v
}

func (c *cluster) oldestVersion() uint64 {
	v := c.newestVersion()
	for _, name := range c.names {
		v = min(v, c.nodes[name].node.Config().Version)
	}
	return v
}
