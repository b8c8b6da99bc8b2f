package commander

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/azuretrestle/azuretrestle/internal/loader"
	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

// deployment describes the size of a customer's system and the load on it.
type deployment struct {
	dataCentres []string
	services    []deployedService
}

type deployedService struct {
	name        string
	upstreams   int
	slots       int
	connections int
	// measuringBudget is the number of probes and load reads per second.
	measuringBudget float64
	ranks           []deployedRank
}

type deployedRank struct {
	patcher.Rank
	// loadShare is the rank's fraction of the total load.
	loadShare float64
	// bodySize is the size of a request body in bytes.
	bodySize int
	// processingTime is the mean time that an upstream takes for a request.
	processingTime time.Duration
}

func period(d time.Duration) patcher.Period { return patcher.Period{Duration: d} }

func lookupRank(name string, target time.Duration, loadShare float64, processingTime time.Duration) deployedRank {
	return deployedRank{
		Rank: patcher.Rank{
			Name: name, Kind: patcher.Idempotent, Urgency: 0, Target: period(target),
			Patience: period(time.Second), Floor: 0.5, MaxQueue: 500,
		},
		loadShare: loadShare, processingTime: processingTime,
	}
}

func onceOnlyRank(name string) deployedRank {
	return deployedRank{
		Rank: patcher.Rank{
			Name: name, Kind: patcher.OnceOnly, Urgency: 0, Target: period(time.Second),
			Patience: period(10 * time.Second), Floor: 0.5, MaxQueue: 500, MaxBody: 64 << 10,
		},
		loadShare: 0.1, bodySize: 300, processingTime: 20 * time.Millisecond,
	}
}

func bulkRank(name string) deployedRank {
	return deployedRank{
		Rank: patcher.Rank{
			Name: name, Kind: patcher.Idempotent, Urgency: 2, Target: period(5 * time.Second),
			Patience: period(10 * time.Second), Floor: 0.1, MaxQueue: 200, MaxBody: 32 << 20,
		},
		loadShare: 0.1, bodySize: 64 << 10, processingTime: 60 * time.Millisecond,
	}
}

// deployments maps names to deployments. Their sizes are those of section 1.2 of docs/design.md.
var deployments = map[string]deployment{
	"Koshi": {
		dataCentres: []string{"koshi-1", "koshi-2", "koshi-3", "koshi-4"},
		services: []deployedService{
			{"Tickets", 15, 6, 220, 30, []deployedRank{lookupRank("Lookup", 50*time.Millisecond, 0.7, 8*time.Millisecond)}},
			{"Payments", 8, 6, 220, 16, []deployedRank{onceOnlyRank("Posting")}},
			{"LabRecords", 8, 6, 220, 16, []deployedRank{
				lookupRank("History", 100*time.Millisecond, 0.1, 12*time.Millisecond),
				bulkRank("ScanBundle"),
			}},
		},
	},
	"SiamLens": {
		dataCentres: []string{"siam-1", "siam-2", "siam-3"},
		services: []deployedService{
			{"Calendars", 20, 4, 260, 40, []deployedRank{lookupRank("Lookup", 100*time.Millisecond, 0.8, 8*time.Millisecond)}},
			{"Ledger", 9, 4, 260, 18, []deployedRank{onceOnlyRank("Confirmation")}},
			{"Delivery", 6, 4, 260, 12, []deployedRank{bulkRank("Photograph")}},
		},
	},
}

// maxEntriesPerService is the largest number of entries that share the measuring budget of a service.
const maxEntriesPerService = 8

// patch returns the patch that configures the deployment; address returns the address of an upstream.
func (d deployment) patch(address func(service, upstream string) netip.AddrPort) patcher.Patch {
	var p patcher.Patch
	for _, s := range d.services {
		svc := patcher.Service{Name: s.name, MeasuringBudget: s.measuringBudget, MaxEntries: maxEntriesPerService}
		for _, r := range s.ranks {
			svc.Ranks = append(svc.Ranks, r.Rank)
		}
		for i := range s.upstreams {
			name := fmt.Sprintf("%c%02d", s.name[0]|0x20, i+1)
			svc.Upstreams = append(svc.Upstreams, patcher.Upstream{
				Name: name, Address: address(s.name, name), DataCentre: d.dataCentres[i%len(d.dataCentres)],
				Slots: s.slots, Connections: s.connections,
			})
		}
		p.Operations = append(p.Operations, patcher.PutService{Service: svc})
	}
	return p
}

// load returns the load of all ranks for a total rate in requests per second.
func (d deployment) load(rate float64) []loader.Rank {
	var list []loader.Rank
	for _, s := range d.services {
		for _, r := range s.ranks {
			list = append(list, loader.Rank{
				Service: s.name, Name: r.Name, OnceOnly: r.Kind == patcher.OnceOnly, Rate: rate * r.loadShare,
				Target: r.Target.Duration, Patience: r.Patience.Duration, Body: r.bodySize,
			})
		}
	}
	return list
}

// floodFactor is the ratio of a flood's rate to the capacity of its service.
const floodFactor = 2

// flood raises the load of the least urgent rank above the capacity of its service between
// from and to, and returns a description of the flood.
func (d deployment) flood(ranks []loader.Rank, from, to time.Duration) string {
	s := d.services[len(d.services)-1]
	r := s.ranks[len(s.ranks)-1]
	capacity := float64(s.upstreams*s.slots) / r.processingTime.Seconds()
	for i := range ranks {
		if ranks[i].Service == s.name && ranks[i].Name == r.Name {
			ranks[i].Surge = loader.Surge{From: from, To: to, Rate: floodFactor * capacity}
		}
	}
	return fmt.Sprintf("%s/%s floods with %.0f requests/s, its service can carry out %.0f", s.name, r.Name, floodFactor*capacity, capacity)
}

// processingTime returns the mean processing time of a rank's requests, or 0 for an unknown rank.
func (d deployment) processingTime(service, rank string) time.Duration {
	for _, s := range d.services {
		for _, r := range s.ranks {
			if s.name == service && r.Name == rank {
				return r.processingTime
			}
		}
	}
	return 0
}
