package reducer

import (
	"time"

	"github.com/azuretrestle/azuretrestle/internal/director"
)

// responseTTL returns how long a caller may use a list of entries.
func (n *Node) responseTTL() time.Duration {
	if n.Managed != nil {
		return n.Managed.AnswerPeriod
	}
	return director.ResponseTTL
}

// entriesRequested sends a caller a list of entries, which is empty if none is known to be usable.
func (n *Node) entriesRequested(ev EntriesRequested) {
	n.refresh()
	a := AnswerEntries{ID: ev.ID, Expires: n.now.Add(n.responseTTL())}
	usable := director.Usable(n.view.Alive(n.now))
	for _, e := range director.Choose(usable, ev.DataCentre, n.random) {
		a.Entries = append(a.Entries, EntryAddress{Name: e.Name, Address: e.CallerAddress, DataCentre: e.DataCentre})
	}
	n.emit(a)
}
