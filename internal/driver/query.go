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
	// maxKeys bounds the number of keys issued per request.
	maxKeys = 100
	// queryTimeout bounds the wait for the node's reply to a query.
	queryTimeout = 2 * time.Second
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
	d.serveQuery(w, r, func(s reducer.Stamp, id reducer.RequestID) reducer.Event {
		return reducer.EntriesRequested{Stamp: s, ID: id, DataCentre: dataCentre}
	})
}

func (d *Driver) serveKeys(w http.ResponseWriter, r *http.Request) {
	ids, ok := newKeys(r.URL.Query().Get("Count"))
	if !ok {
		d.writeReply(w, r, refuseRequest(classifier.MalformedRequest))
		return
	}
	d.serveQuery(w, r, func(s reducer.Stamp, id reducer.RequestID) reducer.Event {
		return reducer.KeysRequested{Stamp: s, ID: id, IDs: ids}
	})
}

// newKeys parses count and returns that many new identifiers, or one if count is
// empty. It returns false if count is invalid or an identifier cannot be generated.
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

// serveQuery steps the node with a caller's query and writes the reply.
func (d *Driver) serveQuery(w http.ResponseWriter, r *http.Request, newEvent func(reducer.Stamp, reducer.RequestID) reducer.Event) {
	c := &call{request: r, reply: make(chan reply, 1)}
	id := d.startQuery(c, newEvent)
	timeout := time.NewTimer(queryTimeout)
	defer timeout.Stop()
	select {
	case rep := <-c.reply:
		d.writeReply(w, r, rep)
	case <-timeout.C:
		d.forgetCall(id)
		d.writeReply(w, r, refuseRequest(classifier.EntryStale))
	case <-r.Context().Done():
		d.forgetCall(id)
	case <-d.ctx.Done():
		panic(http.ErrAbortHandler)
	}
}

func (d *Driver) startQuery(c *call, newEvent func(reducer.Stamp, reducer.RequestID) reducer.Event) reducer.RequestID {
	d.mu.Lock()
	defer d.mu.Unlock()
	id := d.newID()
	d.calls[id] = c
	d.step(newEvent(stamp(), id))
	return id
}

func (d *Driver) forgetCall(id reducer.RequestID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.calls, id)
}

func writeEntries(w http.ResponseWriter, e entriesReply) {
	out := wireEntries{Entries: []wireEntry{}, Expires: e.Expires.UTC()}
	for _, x := range e.Entries {
		out.Entries = append(out.Entries, wireEntry(x))
	}
	writeJSON(w, http.StatusOK, out)
}
