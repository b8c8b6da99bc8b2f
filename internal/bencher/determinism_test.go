package bencher_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azuretrestle/azuretrestle/internal/bencher"
)

func scenario(t *testing.T, d bencher.Deployment, name string) bencher.Scenario {
	for _, sc := range bencher.Scenarios(d) {
		if sc.Name == name {
			return sc
		}
	}
	t.Fatalf("no scenario %q", name)
	return bencher.Scenario{}
}

// TestRepeatable guards against randomness that does not come from the seed, which would
// make results and replays irreproducible.
func TestRepeatable(t *testing.T) {
	is := is.New(t)
	sc := scenario(t, bencher.Koshi(), "both floods")
	sc.Length = 500 * time.Millisecond
	a, b := bencher.Run(sc, bencher.Reducer, 7), bencher.Run(sc, bencher.Reducer, 7)
	is.Equal(a, b)
	is.True(a.Rank("Lookup").Answered > 0)
}
