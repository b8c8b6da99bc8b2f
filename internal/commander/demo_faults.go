package commander

import (
	"context"
	"time"

	"github.com/azuretrestle/azuretrestle/internal/faker"
	"github.com/azuretrestle/azuretrestle/internal/reducer"
	"github.com/azuretrestle/azuretrestle/pkg/classifier"
	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

// stragglerFactor is how much slower the straggler works.
const stragglerFactor = 20

// faultNames lists the faults in the order in which they begin.
var faultNames = []string{"straggler", "drain", "stop", "kill", "log", "patch", "flood"}

// usualFaults leaves out kill and flood, after which the summary shows requests without an answer.
const usualFaults = "straggler,drain,stop,log,patch"

// The flood's part of the run.
const (
	floodFrom = 0.55
	floodTo   = 0.65
)

// step is one moment of a fault, at a share of the duration.
type step struct {
	fault string
	at    float64
	text  string
	do    func(context.Context)
}

// faultLine is what the demo did, and when.
type faultLine struct {
	At   time.Duration
	Text string
}

func (d *demo) steps() []step {
	slow, leaving := d.system.upstreams[0], d.system.upstreams[1]
	return []step{
		{"straggler", 0.10, slow.Name + " becomes 20 times slower", func(context.Context) { slow.slow.Store(stragglerFactor) }},
		{"drain", 0.20, leaving.Name + " drains", func(context.Context) { leaving.drain() }},
		{"stop", 0.30, "a planned stop of an entry begins", d.stopEntry},
		{"kill", 0.40, "an entry is killed", d.killEntry},
		{"straggler", 0.45, slow.Name + " recovers", func(context.Context) { slow.slow.Store(1) }},
		{"log", 0.50, "the log goes down", func(context.Context) { d.system.log.SetMode(faker.LogDown) }},
		{"log", 0.70, "the log comes back", func(context.Context) { d.system.log.SetMode(faker.LogUp) }},
		{"flood", floodFrom, d.floodText, func(context.Context) {}},
		{"flood", floodTo, "the flood ends", func(context.Context) {}},
		{"patch", 0.75, "a patch and a stale patch are submitted", d.patchTwice},
	}
}

// runFaults carries out the chosen steps at their times.
func (d *demo) runFaults(ctx context.Context) {
	begin := time.Now()
	for _, s := range d.steps() {
		if !d.faults[s.fault] {
			continue
		}
		t := time.NewTimer(time.Until(begin.Add(d.share(s.at))))
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
		}
		d.note(time.Since(begin), s.text)
		s.do(ctx)
	}
}

// stopEntry stops the last running entry in the background, as SIGTERM would.
// The demo waits for it even if the load ends before.
func (d *demo) stopEntry(ctx context.Context) {
	list := d.system.running()
	en := list[len(list)-1]
	begin := time.Now()
	d.work.Go(func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), en.settings.Limits.StopPatience)
		defer cancel()
		err := en.drain(ctx)
		d.system.markStopped(en)
		if err != nil {
			d.watcher.add("the planned stop of %s failed: %s", en.settings.Name, err)
			return
		}
		d.note(time.Since(d.begin), "entry "+en.settings.Name+" stopped after "+time.Since(begin).Round(time.Millisecond).String())
	})
}

func (d *demo) killEntry(context.Context) {
	list := d.system.running()
	en := list[len(list)-2]
	d.system.markStopped(en)
	en.abandon()
}

// patchTwice submits two patches against one version, of which the second has to be refused.
func (d *demo) patchTwice(ctx context.Context) {
	// The verdict is waited for even if the load ends before.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 2*forcePatience)
	defer cancel()
	base := d.system.entries[0].configVersion()
	svc := d.system.deployment.services[0]
	edit := patcher.EditService{Name: svc.name, MeasuringBudget: svc.budget / 2, MaxEntries: maxEntriesPerService}
	p := patcher.Patch{Base: base, Operations: []patcher.Operation{edit}}
	begin := time.Now()
	a, err := d.submitWhenUp(ctx, p)
	if err != nil || a.Code != classifier.OK {
		d.note(time.Since(d.begin), "the patch was not accepted: "+a.Code.String()+" "+a.Detail)
		return
	}
	if err := d.system.inForce(ctx, a.Version); err != nil || time.Since(begin) > forcePatience {
		d.watcher.add("version %d was not in force everywhere within %s", a.Version, forcePatience)
	}
	d.note(time.Since(d.begin), "the patch was in force everywhere after "+time.Since(begin).Round(time.Millisecond).String())
	b, err := d.system.submit(ctx, p)
	if err == nil && b.Code == classifier.OK {
		d.watcher.add("a patch against the stale version %d was accepted", base)
	}
	d.note(time.Since(d.begin), "the stale patch was answered "+b.Code.String())
}

// submitInterval is the wait before a patch is submitted again that found the log down.
const submitInterval = 200 * time.Millisecond

// submitWhenUp submits a patch as often as it is refused because the log is not back yet.
func (d *demo) submitWhenUp(ctx context.Context, p patcher.Patch) (reducer.AnswerPatch, error) {
	for {
		a, err := d.system.submit(ctx, p)
		if err != nil || a.Code != classifier.LogUnavailable {
			return a, err
		}
		select {
		case <-ctx.Done():
			return a, ctx.Err()
		case <-time.After(submitInterval):
		}
	}
}
