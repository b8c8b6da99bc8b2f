package soaker

import (
	"bufio"
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	// idlePeriod is the time without requests after which the usage of the entries is read.
	idlePeriod = 10 * time.Second
	// usageTimeout bounds one reading.
	usageTimeout = 2 * time.Second
	// idleConnections bounds the idle connections of one entry to one upstream. The document
	// of the run allows 50 over all entries, of which there are at least two.
	idleConnections = 25
	// idleSlack is the number of goroutines and files beyond those of idle connections that
	// an idle entry may have more than at its start: connections to peers, the store and
	// the soak itself.
	idleSlack = 24
	// heapSlack is the heap in bytes that an idle entry may have beyond that at its start,
	// half of the memory for bodies.
	heapSlack = entryMemory / 8
)

// Usage is what an entry uses of its host at one time.
type Usage struct {
	Goroutines int
	Files      int
	// Heap is the size of the allocated objects in bytes.
	Heap int
}

// EntryUsage is the usage of an entry at the start of its process, at the end of the
// traffic, and after idlePeriod without any.
type EntryUsage struct {
	Entry               int
	Start, Loaded, Idle Usage
}

// checkUsage finds entries that keep goroutines, files or memory without requests.
func checkUsage(t *index) (out []Violation) {
	connections := idleConnections * t.UpstreamCount
	for _, u := range t.Usages {
		exceeds := u.Idle.Goroutines > u.Start.Goroutines+connections+idleSlack ||
			u.Idle.Files > u.Start.Files+connections+idleSlack ||
			u.Idle.Heap > u.Start.Heap+heapSlack
		if exceeds {
			out = append(out, violation("Idle", t.Begun, "entry %d uses %+v without requests, %+v under load, %+v at its start", u.Entry, u.Idle, u.Loaded, u.Start))
		}
	}
	return out
}

// readUsage reads the usage of the process from its metrics.
func (p *process) readUsage() (Usage, error) {
	ctx, cancel := context.WithTimeout(p.ctx, usageTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.settings.Metrics.String()+"/metrics", http.NoBody)
	if err != nil {
		return Usage{}, err
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return Usage{}, errors.Wrap(err, "metrics not read")
	}
	defer func() { _ = resp.Body.Close() }()
	var u Usage
	fields := map[string]*int{"go_goroutines": &u.Goroutines, "process_open_fds": &u.Files, "go_memstats_heap_alloc_bytes": &u.Heap}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		name, text, _ := strings.Cut(lines.Text(), " ")
		if field := fields[name]; field != nil {
			value, err := strconv.ParseFloat(text, 64)
			if err != nil {
				return Usage{}, errors.Wrap(err, name)
			}
			*field = int(value)
		}
	}
	return u, errors.Wrap(lines.Err(), "metrics not read")
}

// recordStartUsage reads the usage of a process that has become ready.
func (p *process) recordStartUsage() {
	u, err := p.readUsage()
	if err != nil {
		return // A process that has ended again has no usage; the next one is read anew.
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.startUsage = u
}

// recordUsage ends the traffic and records what the entries use before and after.
func (b *testbed) recordUsage() {
	usages := make([]EntryUsage, len(b.processes))
	for i, p := range b.processes {
		usages[i].Entry = i
		usages[i].Loaded, _ = p.readUsage()
	}
	b.stopTraffic()
	b.sleep(idlePeriod)
	for i, p := range b.processes {
		u, err := p.readUsage()
		if err != nil {
			if b.ctx.Err() == nil {
				b.recorder.exit(i, "usage of the idle entry: "+err.Error())
			}
			continue
		}
		p.mu.Lock()
		usages[i].Start, usages[i].Idle = p.startUsage, u
		p.mu.Unlock()
		b.recorder.usage(usages[i])
	}
}
