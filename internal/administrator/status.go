package administrator

import (
	"net/http"
	"net/netip"
	"time"

	"github.com/azuretrestle/azuretrestle/internal/balancer"
	"github.com/azuretrestle/azuretrestle/internal/reducer"
)

// Status is the status of an entry as the entry itself reports it.
type Status struct {
	Name          string
	Incarnation   uint64
	DataCentre    string
	CallerAddress netip.AddrPort
	PeerAddress   netip.AddrPort
	State         string
	// Version is the version of the configuration in force.
	Version uint64
	// Newest is the highest configuration version that the entry has heard of.
	Newest uint64
	// EvidenceExpiresAt is when the entry stops accepting new requests unless it confirms its
	// version again.
	EvidenceExpiresAt time.Time
	LogReachable      bool
	// AuditBuffered counts the audit entries that wait to be appended to the log, AuditLost
	// those dropped because the buffer was full.
	AuditBuffered int
	AuditLost     uint64
	Members       []MemberStatus
	Services      []ServiceStatus
}

// MemberStatus is the status of one entry as another entry sees it.
type MemberStatus struct {
	Name          string
	Incarnation   uint64
	DataCentre    string
	CallerAddress netip.AddrPort
	State         string
	Suspected     bool
	Version       uint64
}

// ServiceStatus is the status of one service as the entry sees it.
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
