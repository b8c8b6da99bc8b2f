package commander

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"github.com/azuretrestle/azuretrestle/platform/faker"
)

// TestEntryRepeatedRefusal guards against a refusal that an upstream writes once more on a
// kept connection and that is taken for the response to the next request, which runs.
func TestEntryRepeatedRefusal(t *testing.T) {
	for _, named := range []bool{true, false} {
		t.Run(fmt.Sprintf("refusal names its request %t", named), func(t *testing.T) {
			is := is.New(t)
			d := deploy(t, 1)
			lis, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			t.Cleanup(func() { _ = lis.Close() })
			s := &faker.RepeatingServer{ID: "i-9", NamesRequest: named}
			go s.Serve(lis)
			for _, other := range d.servers {
				d.store.Put(faker.TopicServers, other.ID, nil)
			}
			registered := &faker.Server{ID: s.ID, Service: "tickets", Zone: "a", Slots: 4, Address: netip.MustParseAddrPort(lis.Addr().String())}
			d.store.Put(faker.TopicServers, s.ID, registered.Registration("ready", 1))
			sent := 0
			d.wait("repeated refusal", func() bool {
				runs := s.Runs()
				sent++
				status, _, _ := d.send(0, http.MethodPost, "/post/x", fmt.Sprint("p", sent))
				ran := s.Runs() > runs
				if status == http.StatusServiceUnavailable && ran {
					t.Fatal("a request that ran was answered as not run")
				}
				return s.Runs() >= 3
			})
		})
	}
}

// TestEntryRefusalUnderFormerName guards against a refusal that an upstream writes once more
// after the same request has come to it under its present name, and that is taken for the
// response to that one, which runs.
func TestEntryRefusalUnderFormerName(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 1)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = lis.Close() })
	s := &faker.RenamedServer{ID: "i-10"}
	go s.Serve(lis)
	for _, other := range d.servers {
		d.store.Put(faker.TopicServers, other.ID, nil)
	}
	for _, name := range []string{"i-9", s.ID} {
		registered := &faker.Server{ID: name, Service: "tickets", Zone: "a", Slots: 4, Address: netip.MustParseAddrPort(lis.Addr().String())}
		d.store.Put(faker.TopicServers, name, registered.Registration("ready", 1))
	}
	sent := 0
	d.wait("requests that went to both names", func() bool {
		runs, refusals := s.Runs(), s.Refusals()
		sent++
		status, _, _ := d.send(0, http.MethodPost, "/post/x", fmt.Sprint("p", sent))
		if status == http.StatusServiceUnavailable && s.Runs() > runs {
			t.Fatal("a request that ran was answered as not run")
		}
		return s.Refusals() > refusals && s.Runs() > runs
	})
}
