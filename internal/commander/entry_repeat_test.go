package commander

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/azuretrestle/azuretrestle/platform/faker"
)

// repeatingServer is a faulty server. It refuses the first request on a connection and
// writes that refusal once more when it reads the next one, which it runs.
type repeatingServer struct {
	// namesRequest is set if the refusals name the request that they answer.
	namesRequest bool
	runs         atomic.Int64
	repeated     atomic.Int64
}

func (s *repeatingServer) serve(lis net.Listener) {
	for {
		c, err := lis.Accept()
		if err != nil {
			return
		}
		go s.serveConn(c)
	}
}

func (s *repeatingServer) serveConn(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	refusal := ""
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get("Azuretrestle-Attempt-Id")
		switch {
		case r.URL.Path == "/healthz":
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nAzuretrestle-Instance-Id: i-9\r\nAzuretrestle-Server-Load: 0,0,4,100\r\nContent-Length: 0\r\n\r\n")
		case refusal == "":
			refusal = "HTTP/1.1 503 Service Unavailable\r\nAzuretrestle-Not-Executed: 1\r\nContent-Length: 0\r\n"
			if s.namesRequest {
				refusal += "Azuretrestle-Attempt-Id: " + id + "\r\n"
			}
			refusal += "\r\n"
			_, _ = io.WriteString(c, refusal)
		default:
			s.repeated.Add(1)
			s.runs.Add(1)
			_, _ = io.WriteString(c, refusal)
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAzuretrestle-Attempt-Id: %s\r\nAzuretrestle-Server-Stamp: i-9\r\nContent-Length: 2\r\n\r\nok", id)
		}
	}
}

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
			s := &repeatingServer{namesRequest: named}
			go s.serve(lis)
			for _, other := range d.servers {
				d.store.Put(faker.TopicServers, other.ID, nil)
			}
			registered := &faker.Server{ID: "i-9", Service: "tickets", Zone: "a", Slots: 4, Address: netip.MustParseAddrPort(lis.Addr().String())}
			d.store.Put(faker.TopicServers, "i-9", registered.Registration("ready", 1))
			sent := 0
			d.wait("repeated refusal", func() bool {
				runs := s.runs.Load()
				sent++
				status, _, _ := d.send(0, http.MethodPost, "/post/x", fmt.Sprint("p", sent))
				ran := s.runs.Load() > runs
				if status == http.StatusServiceUnavailable && ran {
					t.Fatal("a request that ran was answered as not run")
				}
				return s.repeated.Load() >= 3
			})
		})
	}
}
