package driver

import (
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/google/uuid"

	"github.com/azuretrestle/azuretrestle/internal/reducer"
	"github.com/azuretrestle/azuretrestle/pkg/classifier"
)

const (
	// maxKeys bounds the keys issued at once.
	maxKeys = 100
	// askPatience bounds the wait for an answer of the node.
	askPatience = 2 * time.Second
)

type wireEntries struct {
	Entries []wireEntry
	Expires time.Time
}

type wireEntry struct {
	Name       string
	Address    netip.AddrPort
	DataCentre string
}

type wireKeys struct{ Keys []string }

func (d *Driver) serveEntries(w http.ResponseWriter, r *http.Request) {
	dataCentre := r.URL.Query().Get("DataCentre")
	d.ask(w, r, func(s reducer.Stamp, id reducer.RequestID) reducer.Event {
		return reducer.EntriesAsked{Stamp: s, ID: id, DataCentre: dataCentre}
	})
}

func (d *Driver) serveKeys(w http.ResponseWriter, r *http.Request) {
	ids, ok := newKeys(r.URL.Query().Get("Count"))
	if !ok {
		d.write(w, r, refuseRequest(classifier.MalformedRequest))
		return
	}
	d.ask(w, r, func(s reducer.Stamp, id reducer.RequestID) reducer.Event {
		return reducer.KeysAsked{Stamp: s, ID: id, IDs: ids}
	})
}

// newKeys returns the number of fresh identifiers that count asks for, one if it is empty.
func newKeys(count string) ([]string, bool) {
	n := 1
	if count != "" {
		var err error
		if n, err = strconv.Atoi(count); err != nil || n < 1 || n > maxKeys {
			return nil, false
		}
	}
	out := make([]string, n)
	for i := range out {
		id, err := uuid.NewV7()
		if err != nil {
			return nil, false
		}
		out[i] = id.String()
	}
	return out, true
}

// ask steps the node with a caller's question and writes the answer.
func (d *Driver) ask(w http.ResponseWriter, r *http.Request, question func(reducer.Stamp, reducer.RequestID) reducer.Event) {
	c := &call{request: r, reply: make(chan reply, 1)}
	id := d.question(c, question)
	patience := time.NewTimer(askPatience)
	defer patience.Stop()
	select {
	case rep := <-c.reply:
		d.write(w, r, rep)
	case <-patience.C:
		d.forget(id)
		d.write(w, r, refuseRequest(classifier.EntryStale))
	case <-r.Context().Done():
		d.forget(id)
	case <-d.ctx.Done():
		panic(http.ErrAbortHandler)
	}
}

func (d *Driver) question(c *call, f func(reducer.Stamp, reducer.RequestID) reducer.Event) reducer.RequestID {
	d.mu.Lock()
	defer d.mu.Unlock()
	id := d.newID()
	d.calls[id] = c
	d.step(f(stamp(), id))
	return id
}

func (d *Driver) forget(id reducer.RequestID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.calls, id)
}

func writeEntries(w http.ResponseWriter, e entries) {
	out := wireEntries{Entries: []wireEntry{}, Expires: e.Expires.UTC()}
	for _, x := range e.Entries {
		out.Entries = append(out.Entries, wireEntry(x))
	}
	writeJSON(w, http.StatusOK, out)
}
