package commander

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/azuretrestle/azuretrestle/internal/loader"
	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

// deployment is one of the users' systems in its size, with a load for it.
type deployment struct {
	centres  []string
	services []deployedService
}

type deployedService struct {
	name        string
	upstreams   int
	slots       int
	connections int
	// budget is the number of probes and load reads a second.
	budget float64
	ranks  []deployedRank
}

type deployedRank struct {
	patcher.Rank
	// share is the part of the whole load.
	share float64
	// body is the size of a request in bytes.
	body int
	// work is the mean time that an upstream works on a request.
	work time.Duration
}

func period(d time.Duration) patcher.Period { return patcher.Period{Duration: d} }

func lookup(name string, target time.Duration, share float64, work time.Duration) deployedRank {
	return deployedRank{
		Rank: patcher.Rank{
			Name: name, Kind: patcher.Idempotent, Urgency: 0, Target: period(target),
			Patience: period(time.Second), Floor: 0.5, MaxQueue: 500,
		},
		share: share, work: work,
	}
}

func onceOnly(name string) deployedRank {
	return deployedRank{
		Rank: patcher.Rank{
			Name: name, Kind: patcher.OnceOnly, Urgency: 0, Target: period(time.Second),
			Patience: period(10 * time.Second), Floor: 0.5, MaxQueue: 500, MaxBody: 64 << 10,
		},
		share: 0.1, body: 300, work: 20 * time.Millisecond,
	}
}

func bulk(name string) deployedRank {
	return deployedRank{
		Rank: patcher.Rank{
			Name: name, Kind: patcher.Idempotent, Urgency: 2, Target: period(5 * time.Second),
			Patience: period(10 * time.Second), Floor: 0.1, MaxQueue: 200, MaxBody: 32 << 20,
		},
		share: 0.1, body: 64 << 10, work: 60 * time.Millisecond,
	}
}

// deployments have the sizes of the design page's section 1.2.
var deployments = map[string]deployment{
	"Koshi": {
		centres: []string{"koshi-1", "koshi-2", "koshi-3", "koshi-4"},
		services: []deployedService{
			{"Tickets", 15, 6, 220, 30, []deployedRank{lookup("Lookup", 50*time.Millisecond, 0.7, 8*time.Millisecond)}},
			{"Payments", 8, 6, 220, 16, []deployedRank{onceOnly("Posting")}},
			{"LabRecords", 8, 6, 220, 16, []deployedRank{
				lookup("History", 100*time.Millisecond, 0.1, 12*time.Millisecond),
				bulk("ScanBundle"),
			}},
		},
	},
	"SiamLens": {
		centres: []string{"siam-1", "siam-2", "siam-3"},
		services: []deployedService{
			{"Calendars", 20, 4, 260, 40, []deployedRank{lookup("Lookup", 100*time.Millisecond, 0.8, 8*time.Millisecond)}},
			{"Ledger", 9, 4, 260, 18, []deployedRank{onceOnly("Confirmation")}},
			{"Delivery", 6, 4, 260, 12, []deployedRank{bulk("Photograph")}},
		},
	},
}

// maxEntriesPerService is the number of entries that share a measuring budget.
const maxEntriesPerService = 8

// patch returns the first patch of the deployment; address gives each upstream its own.
func (d deployment) patch(address func(service, upstream string) netip.AddrPort) patcher.Patch {
	var p patcher.Patch
	for _, s := range d.services {
		svc := patcher.Service{Name: s.name, MeasuringBudget: s.budget, MaxEntries: maxEntriesPerService}
		for _, r := range s.ranks {
			svc.Ranks = append(svc.Ranks, r.Rank)
		}
		for i := range s.upstreams {
			name := fmt.Sprintf("%c%02d", s.name[0]|0x20, i+1)
			svc.Upstreams = append(svc.Upstreams, patcher.Upstream{
				Name: name, Address: address(s.name, name), DataCentre: d.centres[i%len(d.centres)],
				Slots: s.slots, Connections: s.connections,
			})
		}
		p.Operations = append(p.Operations, patcher.PutService{Service: svc})
	}
	return p
}

// load returns the load of all ranks at a total number of requests a second.
func (d deployment) load(rate float64) []loader.Rank {
	var list []loader.Rank
	for _, s := range d.services {
		for _, r := range s.ranks {
			list = append(list, loader.Rank{
				Service: s.name, Name: r.Name, OnceOnly: r.Kind == patcher.OnceOnly, Rate: rate * r.share,
				Target: r.Target.Duration, Patience: r.Patience.Duration, Body: r.body,
			})
		}
	}
	return list
}

// floodFactor is how far a flood exceeds what the upstreams of its service can carry out.
const floodFactor = 2

// flood lets the least urgent rank exceed the capacity of its service for a part of the run.
func (d deployment) flood(ranks []loader.Rank, from, to time.Duration) string {
	s := d.services[len(d.services)-1]
	r := s.ranks[len(s.ranks)-1]
	capacity := float64(s.upstreams*s.slots) / r.work.Seconds()
	for i := range ranks {
		if ranks[i].Service == s.name && ranks[i].Name == r.Name {
			ranks[i].Surge = loader.Surge{From: from, To: to, Rate: floodFactor * capacity}
		}
	}
	return fmt.Sprintf("%s/%s floods with %.0f requests/s, its service can carry out %.0f", s.name, r.Name, floodFactor*capacity, capacity)
}

// work returns the mean time for a request by its rank.
func (d deployment) work(service, rank string) time.Duration {
	for _, s := range d.services {
		for _, r := range s.ranks {
			if s.name == service && r.Name == rank {
				return r.work
			}
		}
	}
	return 0
}
