package faker

import (
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// pastLoad is a load in the history; it applied from its time until that of the next one.
type pastLoad struct {
	at time.Time
	Load
}

// maxHistory bounds the number of past loads that are kept for ReportLag.
const maxHistory = 100_000

// deadlinePassed reports whether a request is past its deadline.
func deadlinePassed(r *http.Request) bool {
	deadline, err := time.Parse(time.RFC3339Nano, r.Header.Get("Azuretrestle-Deadline"))
	return err == nil && time.Now().After(deadline)
}

// acquireSlot takes a slot, after waiting for one if the queue has room. It reports
// false if the queue is full or the request was cancelled.
func (u *Upstream) acquireSlot(r *http.Request) bool {
	slots, ok := u.enqueue()
	if !ok {
		return false
	}
	select {
	case slots <- struct{}{}:
		u.changeLoad(1, -1)
		return true
	case <-r.Context().Done():
		u.changeLoad(0, -1)
		return false
	}
}

// enqueue counts a request as queued, or returns false if the queue is full. It checks the
// limit and counts under one lock, so that two requests never get the same place.
func (u *Upstream) enqueue() (chan struct{}, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.slots == nil {
		u.slots = make(chan struct{}, u.Slots)
	}
	if u.startedAt.IsZero() {
		u.startedAt = time.Now()
	}
	if u.load.InFlight+u.load.Queued >= u.Slots+u.Queue {
		return nil, false
	}
	u.load.Queued++
	return u.slots, true
}

func (u *Upstream) releaseSlot() {
	u.mu.Lock()
	slots := u.slots
	u.mu.Unlock()
	u.changeLoad(-1, 0)
	<-slots
}

func (u *Upstream) changeLoad(inFlight, queued int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.load.InFlight += inFlight
	u.load.Queued += queued
	if u.faults.ReportLag.Duration <= 0 {
		u.history = nil
		return
	}
	u.history = append(u.history, pastLoad{time.Now(), u.load})
	if len(u.history) > maxHistory {
		u.history = u.history[maxHistory/2:]
	}
}

func (u *Upstream) countExecution(key string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.executed++
	if key == "" {
		return
	}
	if u.runs == nil {
		u.runs = make(map[string]int)
	}
	u.runs[key]++
}

// reportLoad sets the load headers of a response and returns the load as text.
func (u *Upstream) reportLoad(w http.ResponseWriter) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	load := u.reportedLoad(time.Now())
	text := strconv.Itoa(load.InFlight) + " " + strconv.Itoa(load.Queued)
	w.Header().Set("Azuretrestle-Load", text)
	if u.faults.Draining {
		w.Header().Set("Azuretrestle-Draining", "true")
	}
	return text
}

func (u *Upstream) reportedLoad(now time.Time) Load {
	if u.faults.Report != nil {
		return *u.faults.Report
	}
	lag := u.faults.ReportLag.Duration
	if lag <= 0 {
		return u.load
	}
	var old Load
	for _, h := range u.history {
		if now.Sub(h.at) < lag {
			break
		}
		old = h.Load
	}
	return old
}

func (u *Upstream) refuse(w http.ResponseWriter) {
	u.mu.Lock()
	u.refused++
	u.mu.Unlock()
	u.reportLoad(w)
	w.Header().Set("Azuretrestle-Not-Run", "true")
	http.Error(w, "request was not run", http.StatusServiceUnavailable)
}

func (u *Upstream) serviceTime(r *http.Request, f Faults) time.Duration {
	d := u.Mean
	if u.Work != nil {
		d = u.Work(r)
	}
	factor := max(f.Straggle, 0)
	if factor == 0 {
		factor = 1
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.Work == nil && u.Sigma > 0 {
		if u.random == nil {
			u.random = rand.New(rand.NewPCG(u.Seed, 0))
		}
		// The mean of a log-normal value is exp(mu + sigma²/2).
		factor *= math.Exp(u.random.NormFloat64()*u.Sigma - u.Sigma*u.Sigma/2)
	}
	return time.Duration(float64(d) * factor * u.slowStartFactor(time.Now()))
}

// slowStartFactor falls linearly from ColdFactor to 1 over the time Cold.
func (u *Upstream) slowStartFactor(now time.Time) float64 {
	age := now.Sub(u.startedAt)
	if age >= u.Cold || u.ColdFactor <= 1 {
		return 1
	}
	return u.ColdFactor - (u.ColdFactor-1)*float64(age)/float64(u.Cold)
}
