package soaker

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/azuretrestle/azuretrestle/platform/faker"
)

// play waits for a step's time, does it and ends it.
func (w *world) play(begun time.Time, s Step, random *rand.Rand) {
	w.pause(time.Until(s.At))
	if w.ctx.Err() != nil {
		return
	}
	_, _ = fmt.Fprintf(w.Out, "%7.3f %s\n", s.At.Sub(begun).Seconds(), s)
	heal := w.begin(s.Fault, random)
	if heal == nil {
		return
	}
	w.pause(time.Until(s.Until))
	heal()
}

// begin does a fault; it returns what ends it, nil if nothing does.
func (w *world) begin(f Fault, random *rand.Rand) (heal func()) {
	switch f := f.(type) {
	case StopEntry:
		w.processes[f.Entry].stop(random)
	case KillEntry:
		w.processes[f.Entry].kill(random)
	case PauseEntry:
		return w.processes[f.Entry].pause()
	case ReloadEntry:
		w.processes[f.Entry].reload()
	case BreakLink:
		return w.breakLink(f)
	case BreakStore:
		return w.breakStore(f)
	case ExpireStore:
		w.recorder.disturb(Disturbance{Entry: everyEntry, Store: true, Cause: "history dropped"})()
		w.store.Expire()
	case BreakUpstream:
		return w.breakUpstream(f)
	case DrainUpstream:
		w.upstreams[f.Upstream].drain(f.Silently)
	case CrashUpstream:
		w.upstreams[f.Upstream].crash(f.Reuse)
	case Configure:
		w.configure()
	}
	return nil
}

func (w *world) breakLink(f BreakLink) func() {
	d := Disturbance{Entry: f.Link.Number, Cause: f.Link.Side.String() + " link: " + f.Mode.String()}
	var p *proxy
	switch f.Link.Side {
	case SideCaller:
		p = w.callerLinks[f.Link.Number]
	case SideStore:
		p = w.storeLinks[f.Link.Number]
	default:
		i := w.upstreams[f.Link.Number].serving()
		if i == nil {
			return nil
		}
		p = i.link
		d.Entry = everyEntry
	}
	end := w.recorder.disturb(d)
	p.setMode(f.Mode)
	return func() {
		p.setMode(ModePass)
		end()
	}
}

func (w *world) breakStore(f BreakStore) func() {
	end := w.recorder.disturb(Disturbance{Entry: everyEntry, Store: true, Cause: "store: " + f.Fault.String()})
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken[f.Fault]++
	w.store.SetFault(w.storeFault())
	if f.Lapse {
		w.lapse()
	}
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		defer end()
		w.broken[f.Fault]--
		w.store.SetFault(w.storeFault())
	}
}

// storeFault returns the worst of the faults in force; w.mu is held.
func (w *world) storeFault() faker.StoreFault {
	for _, f := range []faker.StoreFault{faker.StoreSilent, faker.StoreResets, faker.StoreRefuses, faker.StoreSlow} {
		if w.broken[f] > 0 {
			return f
		}
	}
	return faker.StoreServes
}

// writable reports whether the store takes records; w.mu is held.
func (w *world) writable() bool {
	f := w.storeFault()
	return f == faker.StoreServes || f == faker.StoreSlow
}

// lapse drops the registrations, which come back with the next heartbeats; w.mu is held.
func (w *world) lapse() {
	for _, u := range w.upstreams {
		if i := u.serving(); i != nil {
			w.store.Put(faker.TopicServers, i.ID, nil)
		}
	}
}

func (w *world) breakUpstream(f BreakUpstream) func() {
	i := w.upstreams[f.Upstream].spare()
	if i == nil {
		return nil
	}
	i.SetFault(f.Fault)
	return func() { i.SetFault(faker.FaultNone) }
}

// configure writes the next version, which moves the requests that may run more
// than once to the other service.
func (w *world) configure() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.writable() {
		return
	}
	w.version++
	v := Version{Number: w.version, Service: serviceOther, SentAt: time.Now()}
	if v.Number%2 == 1 {
		v.Service = serviceOnce
	}
	w.store.Put(faker.TopicOperator, "config", faker.Document(v.Number, v.Service))
	v.AckedAt = time.Now()
	w.recorder.version(v)
}
