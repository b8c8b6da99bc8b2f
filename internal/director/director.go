package director

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/azuretrestle/azuretrestle/internal/gossiper"
)

// MaxAnswer bounds the entries in an answer.
const MaxAnswer = 4

// AnswerPeriod is how long a caller may use an answer.
const AnswerPeriod = 5 * time.Second

// Usable returns the entries that callers may be told to use: alive, neither
// suspected, stale nor shown as leaving by the host list.
func Usable(alive []gossiper.Entry) []gossiper.Entry {
	return slices.DeleteFunc(slices.Clone(alive), func(e gossiper.Entry) bool {
		return e.State != gossiper.Alive || e.Stale || e.ListedLeaving || !e.CallerAddress.IsValid()
	})
}

// Choose returns up to MaxAnswer entries, those in the caller's data centre
// first. Within and outside of it, entries with fewer requests in flight are
// the more likely ones.
func Choose(usable []gossiper.Entry, dataCentre string, random *rand.Rand) []gossiper.Entry {
	var near, far []gossiper.Entry
	for _, e := range usable {
		if e.DataCentre == dataCentre {
			near = append(near, e)
		} else {
			far = append(far, e)
		}
	}
	out := draw(near, MaxAnswer, random)
	return append(out, draw(far, MaxAnswer-len(out), random)...)
}

// draw takes entries without replacement, weighted by the inverse of their load.
func draw(from []gossiper.Entry, count int, random *rand.Rand) []gossiper.Entry {
	var out []gossiper.Entry
	for len(out) < count && len(from) > 0 {
		i := pick(from, random)
		out = append(out, from[i])
		from = slices.Delete(from, i, i+1)
	}
	return out
}

func weight(e gossiper.Entry) float64 { return 1 / (1 + float64(e.InFlight)) }

func pick(from []gossiper.Entry, random *rand.Rand) int {
	total := 0.0
	for _, e := range from {
		total += weight(e)
	}
	at := random.Float64() * total
	for i, e := range from {
		at -= weight(e)
		if at < 0 {
			return i
		}
	}
	return len(from) - 1
}
