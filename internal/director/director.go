package director

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/azuretrestle/azuretrestle/internal/gossiper"
)

// MaxResponseEntries is the maximum number of entries in a response.
const MaxResponseEntries = 4

// ResponseTTL is how long a response is valid for a caller.
const ResponseTTL = 5 * time.Second

// Usable returns those of the given entries that may be advertised to callers: they
// are alive, neither stale nor shown as leaving by the host list, and have an address
// for callers. The given entries must not include suspected ones.
func Usable(alive []gossiper.Entry) []gossiper.Entry {
	return slices.DeleteFunc(slices.Clone(alive), func(e gossiper.Entry) bool {
		return e.State != gossiper.Alive || e.Stale || e.ListedLeaving || !e.CallerAddress.IsValid()
	})
}

// Choose returns up to MaxResponseEntries entries, those in the caller's data centre
// first. Within each of the two groups, entries with fewer requests in flight are
// more likely to be chosen.
func Choose(usable []gossiper.Entry, dataCentre string, random *rand.Rand) []gossiper.Entry {
	var local, remote []gossiper.Entry
	for _, e := range usable {
		if e.DataCentre == dataCentre {
			local = append(local, e)
		} else {
			remote = append(remote, e)
		}
	}
	out := sample(local, MaxResponseEntries, random)
	return append(out, sample(remote, MaxResponseEntries-len(out), random)...)
}

// sample draws entries without replacement, weighted by the inverse of their load. It
// modifies from.
func sample(from []gossiper.Entry, count int, random *rand.Rand) []gossiper.Entry {
	var out []gossiper.Entry
	for len(out) < count && len(from) > 0 {
		i := pickIndex(from, random)
		out = append(out, from[i])
		from = slices.Delete(from, i, i+1)
	}
	return out
}

func weight(e gossiper.Entry) float64 { return 1 / (1 + float64(e.InFlight)) }

func pickIndex(from []gossiper.Entry, random *rand.Rand) int {
	total := 0.0
	for _, e := range from {
		total += weight(e)
	}
	remaining := random.Float64() * total
	for i, e := range from {
		remaining -= weight(e)
		if remaining < 0 {
			return i
		}
	}
	return len(from) - 1
}
