package commander

import (
	"context"
	"time"

	"github.com/azuretrestle/azuretrestle/internal/faker"
	"github.com/azuretrestle/azuretrestle/internal/reducer"
	"github.com/azuretrestle/azuretrestle/pkg/classifier"
	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

// stragglerSlowdown is the factor by which the straggler's processing time grows.
const stragglerSlowdown = 20

// faultNames lists the faults in the order in which they begin.
var faultNames = []string{"straggler", "drain", "stop", "kill", "log", "patch", "flood"}

// defaultFaults omits kill and flood, since both leave unanswered requests in the report.
const defaultFaults = "straggler,drain,stop,log,patch"

// The flood lasts from floodFrom to floodTo, which are fractions of the duration.
const (
	floodFrom = 0.55
	floodTo   = 0.65
)

// step is one action of a fault; at is its time as a fraction of the duration.
type step struct {
	fault string
	at    float64
	text  string
	run   func(context.Context)
}

// demoEvent is an event of the demo, such as the start of a fault, with its time since the start.
type demoEvent struct {
	At   time.Duration
	Text string
}

func (d *demo) steps() []step {
	straggler, draining := d.system.upstreams[0], d.system.upstreams[1]
	return []step{
		{"straggler", 0.10, straggler.Name + " becomes 20 times slower", func(context.Context) { straggler.slowdown.Store(stragglerSlowdown) }},
		{"drain", 0.20, draining.Name + " drains", func(context.Context) { draining.drain() }},
		{"stop", 0.30, "a planned stop of an entry begins", d.stopEntry},
		{"kill", 0.40, "an entry is killed", d.killEntry},
		{"straggler", 0.45, straggler.Name + " recovers", func(context.Context) { straggler.slowdown.Store(1) }},
		{"log", 0.50, "the log goes down", func(context.Context) { d.system.log.SetMode(faker.LogDown) }},
		{"log", 0.70, "the log comes back", func(context.Context) { d.system.log.SetMode(faker.LogUp) }},
		{"flood", floodFrom, d.floodText, func(context.Context) {}},
		{"flood", floodTo, "the flood ends", func(context.Context) {}},
		{"patch", 0.75, "a patch and a stale patch are submitted", d.patchTwice},
	}
}

// runFaults runs the steps of the selected faults at their times.
func (d *demo) runFaults(ctx context.Context) {
	begin := time.Now()
	for _, s := range d.steps() {
		if !d.faults[s.fault] {
			continue
		}
		t := time.NewTimer(time.Until(begin.Add(d.fraction(s.at))))
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
		}
		d.recordEvent(time.Since(begin), s.text)
		s.run(ctx)
	}
}

// stopEntry begins a planned stop of the last running entry in the background, as SIGTERM
// would. The demo waits for the stop even if the load ends first.
func (d *demo) stopEntry(ctx context.Context) {
	list := d.system.running()
	en := list[len(list)-1]
	begin := time.Now()
	d.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), en.settings.Limits.StopPatience)
		defer cancel()
		err := en.drain(ctx)
		d.system.markStopped(en)
		if err != nil {
			d.watcher.add("the planned stop of %s failed: %s", en.settings.Name, err)
			return
		}
		d.recordEvent(time.Since(d.begin), "entry "+en.settings.Name+" stopped after "+time.Since(begin).Round(time.Millisecond).String())
	})
}

func (d *demo) killEntry(context.Context) {
	list := d.system.running()
	en := list[len(list)-2]
	d.system.markStopped(en)
	en.abort()
}

// patchTwice submits a patch twice against the same version; the second must be refused as stale.
func (d *demo) patchTwice(ctx context.Context) {
	// WithoutCancel lets the demo wait for the result even if the load ends first.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 2*rolloutTimeout)
	defer cancel()
	base := d.system.entries[0].configVersion()
	svc := d.system.deployment.services[0]
	edit := patcher.EditService{Name: svc.name, MeasuringBudget: svc.measuringBudget / 2, MaxEntries: maxEntriesPerService}
	p := patcher.Patch{Base: base, Operations: []patcher.Operation{edit}}
	begin := time.Now()
	a, err := d.submitWithRetry(ctx, p)
	if err != nil || a.Code != classifier.OK {
		d.recordEvent(time.Since(d.begin), "the patch was not accepted: "+a.Code.String()+" "+a.Detail)
		return
	}
	if err := d.system.waitForVersion(ctx, a.Version); err != nil || time.Since(begin) > rolloutTimeout {
		d.watcher.add("version %d was not in force everywhere within %s", a.Version, rolloutTimeout)
	}
	d.recordEvent(time.Since(d.begin), "the patch was in force everywhere after "+time.Since(begin).Round(time.Millisecond).String())
	b, err := d.system.submit(ctx, p)
	if err == nil && b.Code == classifier.OK {
		d.watcher.add("a patch against the stale version %d was accepted", base)
	}
	d.recordEvent(time.Since(d.begin), "the stale patch was answered "+b.Code.String())
}

// submitRetryInterval is the wait before a patch refused with LogUnavailable is submitted again.
const submitRetryInterval = 200 * time.Millisecond

// submitWithRetry submits a patch and retries it while the result is LogUnavailable.
func (d *demo) submitWithRetry(ctx context.Context, p patcher.Patch) (reducer.AnswerPatch, error) {
	for {
		a, err := d.system.submit(ctx, p)
		if err != nil || a.Code != classifier.LogUnavailable {
			return a, err
		}
		select {
		case <-ctx.Done():
			return a, ctx.Err()
		case <-time.After(submitRetryInterval):
		}
	}
}
