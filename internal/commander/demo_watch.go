package commander

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"
)

const watchInterval = 20 * time.Millisecond

// watcher notes breaches that only the demo can see from outside of the load.
type watcher struct {
	mu     sync.Mutex
	broken []string
}

func (w *watcher) add(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken = append(w.broken, fmt.Sprintf(format, args...))
}

func (w *watcher) list() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.broken)
}

// versions looks at every entry again and again, and notes one whose version goes back.
func (w *watcher) versions(ctx context.Context, s *demoSystem) {
	t := time.NewTicker(watchInterval)
	defer t.Stop()
	for {
		for _, en := range s.running() {
			w.version(en, en.configVersion())
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (w *watcher) version(en *demoEntry, v uint64) {
	if v < en.version {
		w.add("entry %s went back from version %d to %d", en.settings.Name, en.version, v)
	}
	en.version = v
}

// measuring is the cost of measuring one service.
type measuring struct {
	Service string
	// Budget is the number of probes and load reads a second.
	Budget float64
	// Total is the number in the whole run, Busiest that in the busiest second.
	Total   int
	Busiest int
}

// measured returns the cost of measuring by service and notes a budget that was exceeded.
func (w *watcher) measured(s *demoSystem) []measuring {
	var list []measuring
	for _, svc := range s.deployment.services {
		var times []time.Time
		for _, u := range s.upstreams {
			if u.service == svc.name {
				at, _ := u.notes()
				times = append(times, at...)
			}
		}
		m := measuring{Service: svc.name, Budget: svc.budget, Total: len(times), Busiest: busiest(times, time.Second)}
		if float64(m.Busiest) > m.Budget {
			w.add("%s was measured %d times within a second, the budget is %v", svc.name, m.Busiest, m.Budget)
		}
		list = append(list, m)
	}
	return list
}

// busiest returns the largest number of times in any window of the given length.
func busiest(times []time.Time, window time.Duration) int {
	slices.SortFunc(times, time.Time.Compare)
	most, first := 0, 0
	for i, t := range times {
		for t.Sub(times[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// late returns how much new work reached upstreams that had been leaving for longer than the bound.
func (s *demoSystem) late() int {
	n := 0
	for _, u := range s.upstreams {
		_, late := u.notes()
		n += late
	}
	return n
}
