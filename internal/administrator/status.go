package administrator

import (
	"net/http"
	"net/netip"
	"time"

	"github.com/azuretrestle/azuretrestle/internal/balancer"
	"github.com/azuretrestle/azuretrestle/internal/reducer"
)

// Status is what an entry tells about itself.
type Status struct {
	Name          string
	Incarnation   uint64
	DataCentre    string
	CallerAddress netip.AddrPort
	PeerAddress   netip.AddrPort
	State         string
	// Version is the version of the configuration in force.
	Version uint64
	// Newest is the highest version that the entry has heard of.
	Newest uint64
	// EvidenceExpiresAt is when the entry stops taking new work unless it confirms its version again.
	EvidenceExpiresAt time.Time
	LogReachable      bool
	// AuditBuffered and AuditLost count audit records that wait for the log and that did not fit.
	AuditBuffered int
	AuditLost     uint64
	Members       []MemberStatus
	Services      []ServiceStatus
}

// MemberStatus is one entry as another sees it.
type MemberStatus struct {
	Name          string
	Incarnation   uint64
	DataCentre    string
	CallerAddress netip.AddrPort
	State         string
	Suspected     bool
	Version       uint64
}

// ServiceStatus is one service as the entry sees it.
type ServiceStatus struct {
	Name      string
	Ranks     int
	Upstreams []balancer.Status
}

func (a *Administrator) status(w http.ResponseWriter, _ *http.Request, _ string) {
	var s Status
	a.node.View(func(n *reducer.Node) { s = statusOf(n) })
	writeData(w, s)
}

func statusOf(n *reducer.Node) Status {
	e := n.Evidence()
	s := Status{
		Name: n.Name, Incarnation: n.Incarnation, DataCentre: n.DataCentre,
		CallerAddress: n.CallerAddress, PeerAddress: n.PeerAddress, State: n.State().String(),
		Version: e.Version, Newest: e.Newest, EvidenceExpiresAt: e.ExpiresAt, LogReachable: e.LogReachable,
	}
	s.AuditBuffered, s.AuditLost = n.AuditBacklog()
	for _, m := range n.Members() {
		s.Members = append(s.Members, MemberStatus{
			Name: m.Name, Incarnation: m.Incarnation, DataCentre: m.DataCentre, CallerAddress: m.CallerAddress,
			State: m.State.String(), Suspected: m.Suspected, Version: m.Version,
		})
	}
	for _, svc := range n.Config().Services {
		s.Services = append(s.Services, ServiceStatus{Name: svc.Name, Ranks: len(svc.Ranks), Upstreams: n.Upstreams(svc.Name)})
	}
	return s
}
