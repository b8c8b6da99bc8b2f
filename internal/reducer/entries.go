package reducer

import (
	"slices"

	"github.com/azuretrestle/azuretrestle/internal/director"
	"github.com/azuretrestle/azuretrestle/internal/gossiper"
)

// entriesAsked names entries to a caller; the list is empty if none is known to be usable.
func (n *Node) entriesAsked(ev EntriesAsked) {
	n.refresh()
	a := AnswerEntries{ID: ev.ID, Expires: n.now.Add(director.AnswerPeriod)}
	for _, e := range director.Choose(n.usable(), ev.DataCentre, n.random) {
		a.Entries = append(a.Entries, EntryAddress{Name: e.Name, Address: e.CallerAddress, DataCentre: e.DataCentre})
	}
	n.emit(a)
}

func (n *Node) usable() []gossiper.Entry {
	list := director.Usable(n.view.Alive(n.now))
	if n.refusal() == 0 && n.state == gossiper.Alive {
		return list
	}
	return slices.DeleteFunc(list, func(e gossiper.Entry) bool { return e.Name == n.Name })
}
