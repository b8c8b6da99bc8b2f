package soaker

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/azuretrestle/azuretrestle/platform/faker"
)

// runStep waits until a step is due, injects its fault and removes it at the step's end.
func (b *testbed) runStep(runStart time.Time, s Step, random *rand.Rand) {
	b.sleep(time.Until(s.At))
	if b.ctx.Err() != nil {
		return
	}
	_, _ = fmt.Fprintf(b.Out, "%7.3f %s\n", s.At.Sub(runStart).Seconds(), s)
	undo := b.inject(s.Fault, random)
	if undo == nil {
		return
	}
	b.sleep(time.Until(s.Until))
	undo()
}

// inject injects a fault. It returns the function that removes the fault, or nil
// if there is nothing to remove.
func (b *testbed) inject(f Fault, random *rand.Rand) (undo func()) {
	switch f := f.(type) {
	case StopEntry:
		b.processes[f.Entry].stop(random)
	case KillEntry:
		b.processes[f.Entry].kill(random)
	case PauseEntry:
		return b.processes[f.Entry].pause()
	case ReloadEntry:
		b.processes[f.Entry].reload()
	case BreakLink:
		return b.breakLink(f)
	case BreakStore:
		return b.breakStore(f)
	case ExpireStore:
		b.recorder.disturb(Disturbance{Entry: allEntries, Store: true, Cause: "history dropped"})()
		b.store.Expire()
	case BreakUpstream:
		return b.breakUpstream(f)
	case DrainUpstream:
		b.upstreams[f.Upstream].drain(f.Silently)
	case CrashUpstream:
		b.upstreams[f.Upstream].crash(f.Reuse)
	case Configure:
		b.configure()
	}
	return nil
}

func (b *testbed) breakLink(f BreakLink) func() {
	d := Disturbance{Entry: f.Link.Number, Cause: f.Link.Side.String() + " link: " + f.Mode.String()}
	var p *proxy
	switch f.Link.Side {
	case SideCaller:
		p = b.callerLinks[f.Link.Number]
	case SideStore:
		p = b.storeLinks[f.Link.Number]
	default:
		i := b.upstreams[f.Link.Number].serving()
		if i == nil {
			return nil
		}
		p = i.link
		d.Entry = allEntries
	}
	end := b.recorder.disturb(d)
	p.setMode(f.Mode)
	return func() {
		p.setMode(ModePass)
		end()
	}
}

func (b *testbed) breakStore(f BreakStore) func() {
	end := b.recorder.disturb(Disturbance{Entry: allEntries, Store: true, Cause: "store: " + f.Fault.String()})
	b.mu.Lock()
	defer b.mu.Unlock()
	b.storeFaults[f.Fault]++
	b.store.SetFault(b.storeFault())
	if f.Lapse {
		b.dropRegistrations()
	}
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		defer end()
		b.storeFaults[f.Fault]--
		b.store.SetFault(b.storeFault())
	}
}

// storeFault returns the most severe of the active store faults. The caller holds b.mu.
func (b *testbed) storeFault() faker.StoreFault {
	for _, f := range []faker.StoreFault{faker.StoreSilent, faker.StoreResets, faker.StoreRefuses, faker.StoreSlow} {
		if b.storeFaults[f] > 0 {
			return f
		}
	}
	return faker.StoreServes
}

// writable reports whether the store accepts records. The caller holds b.mu.
func (b *testbed) writable() bool {
	f := b.storeFault()
	return f == faker.StoreServes || f == faker.StoreSlow
}

// dropRegistrations removes all registrations; the next heartbeats restore them.
// The caller holds b.mu.
func (b *testbed) dropRegistrations() {
	for _, u := range b.upstreams {
		if i := u.serving(); i != nil {
			b.store.Put(faker.TopicServers, i.ID, nil)
		}
	}
}

func (b *testbed) breakUpstream(f BreakUpstream) func() {
	i := b.upstreams[f.Upstream].replaceable()
	if i == nil {
		return nil
	}
	i.SetFault(f.Fault)
	return func() { i.SetFault(faker.FaultNone) }
}

// configure writes the next configuration version, which routes idempotent
// requests to the other service.
func (b *testbed) configure() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.writable() {
		return
	}
	b.version++
	v := Version{Number: b.version, Service: serviceOther, SentAt: time.Now()}
	if v.Number%2 == 1 {
		v.Service = serviceOnce
	}
	b.store.Put(faker.TopicOperator, "config", faker.Document(v.Number, v.Service))
	v.AckedAt = time.Now()
	b.recorder.version(v)
}
