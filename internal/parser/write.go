package parser

import (
	"bufio"
	"fmt"
	"io"

	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

// WritePatch writes a configuration as a patch file that is based on its
// version; it returns the error of w.
func WritePatch(w io.Writer, c *patcher.Config) error {
	b := bufio.NewWriter(w)
	_, _ = fmt.Fprintf(b, "[Patch]\nBase = %d\n", c.Version)
	for _, s := range c.Services {
		writeService(b, s)
	}
	return b.Flush()
}

func writeService(w io.Writer, s patcher.Service) {
	_, _ = fmt.Fprintf(w, "\n[Service %s]\nMeasuringBudget = %v\nMaxEntries = %d\n", s.Name, s.MeasuringBudget, s.MaxEntries)
	for _, r := range s.Ranks {
		_, _ = fmt.Fprintf(w, "\n[Rank %s/%s]\nKind = %s\nUrgency = %d\nTarget = %s\nPatience = %s\nFloor = %v\nMaxQueue = %d\nMaxBody = %d\n",
			s.Name, r.Name, r.Kind, r.Urgency, r.Target, r.Patience, r.Floor, r.MaxQueue, r.MaxBody)
	}
	for _, u := range s.Upstreams {
		_, _ = fmt.Fprintf(w, "\n[Upstream %s/%s]\nAddress = %s\nDataCentre = %s\nSlots = %d\nConnections = %d\nDraining = %t\n",
			s.Name, u.Name, u.Address, u.DataCentre, u.Slots, u.Connections, u.Draining)
	}
}
