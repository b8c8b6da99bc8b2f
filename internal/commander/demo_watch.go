package commander

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"
)

const versionPollInterval = 20 * time.Millisecond

// watcher collects violations of invariants that the load generator cannot detect.
type watcher struct {
	mu         sync.Mutex
	violations []string
}

func (w *watcher) add(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

func (w *watcher) list() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.violations)
}

// watchVersions polls the version of every running entry and reports versions that decrease.
func (w *watcher) watchVersions(ctx context.Context, s *demoSystem) {
	t := time.NewTicker(versionPollInterval)
	defer t.Stop()
	for {
		for _, en := range s.running() {
			w.checkVersion(en, en.configVersion())
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (w *watcher) checkVersion(en *demoEntry, v uint64) {
	if v < en.lastVersion {
		w.add("entry %s went back from version %d to %d", en.settings.Name, en.lastVersion, v)
	}
	en.lastVersion = v
}

// measuringCost is the number of probes and load reads that the upstreams of a service received.
type measuringCost struct {
	Service string
	// Budget is the largest number of probes and load reads per second.
	Budget float64
	// Total is the number in the whole run, Busiest the number in the busiest second.
	Total   int
	Busiest int
}

// checkMeasuringBudgets returns the measuring cost of each service and reports the
// services that exceeded their budget.
func (w *watcher) checkMeasuringBudgets(s *demoSystem) []measuringCost {
	var list []measuringCost
	for _, svc := range s.deployment.services {
		var times []time.Time
		for _, u := range s.upstreams {
			if u.service == svc.name {
				at, _ := u.observations()
				times = append(times, at...)
			}
		}
		m := measuringCost{Service: svc.name, Budget: svc.measuringBudget, Total: len(times), Busiest: busiest(times, time.Second)}
		if float64(m.Busiest) > m.Budget {
			w.add("%s was measured %d times within a second, the budget is %v", svc.name, m.Busiest, m.Budget)
		}
		list = append(list, m)
	}
	return list
}

// busiest returns the largest number of the given times that lie within one window.
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

// lateRequests returns the number of requests that upstreams received more than drainLimit
// after the start of their drain.
func (s *demoSystem) lateRequests() int {
	n := 0
	for _, u := range s.upstreams {
		_, late := u.observations()
		n += late
	}
	return n
}
