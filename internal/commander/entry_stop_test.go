package commander

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azuretrestle/azuretrestle/platform/faker"
)

// TestEntryLateInGrace guards against requests that arrive late in the grace period of a
// planned stop and are cut off at its end without a response, and against a response that
// says "not run" to one that ran.
func TestEntryLateInGrace(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault faker.Fault
		work  time.Duration
	}{
		{"calm", faker.FaultNone, 100 * time.Millisecond},
		{"servers do not respond", faker.FaultSilent, 0},
		{"servers slower than the grace period", faker.FaultNone, 5 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := deploy(t, 2)
			for i := range 20 {
				status, _, _ := d.send(1, http.MethodPost, "/post/x", fmt.Sprint("warm", i))
				is.Equal(status, http.StatusOK)
			}
			for _, s := range d.servers {
				s.Work = c.work
			}
			d.fault(c.fault)
			s := *d.entries[1].settings
			s.Grace = 1500 * time.Millisecond
			d.writeSettings(&s)
			d.wait("grace period reloaded", func() bool { return strings.Contains(d.logs.String(), `"Grace":"1.5s"`) })
			var requests sync.WaitGroup
			var mu sync.Mutex
			results := make(map[string]int)
			d.signals[1] <- syscall.SIGTERM
			for i, end := 0, time.Now().Add(s.Grace); time.Now().Before(end); i++ {
				requests.Go(func() {
					id := fmt.Sprint("late", i)
					status, _, _ := d.send(1, http.MethodPost, "/post/x", id)
					mu.Lock()
					defer mu.Unlock()
					results[id] = status
				})
				time.Sleep(20 * time.Millisecond)
			}
			is.NoErr(<-d.ended[1])
			d.entries[1].driver.Close() // as the end of the process does
			requests.Wait()
			for id, status := range results {
				if status == 0 && d.runs(id) > 0 {
					t.Errorf("%s ran and got no response", id)
				}
				if status == http.StatusServiceUnavailable && d.runs(id) > 0 {
					t.Errorf("%s ran and was refused as not run", id)
				}
			}
		})
	}
}

// TestEntryStopsPipelined guards against a planned stop that answers the first of several
// requests on one connection and drops those behind it, which servers have run.
func TestEntryStopsPipelined(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 2)
	for _, s := range d.servers {
		s.Work = 400 * time.Millisecond
	}
	const connections, pipelined = 3, 3
	var clients sync.WaitGroup
	for i := range connections {
		clients.Go(func() {
			for j, answered := range d.pipeline(1, fmt.Sprintf("c%d", i), pipelined) {
				if id := pipelinedID(fmt.Sprintf("c%d", i), j); !answered && d.runs(id) > 0 {
					t.Errorf("%s ran and got no response", id)
				}
			}
		})
	}
	d.wait("requests in progress", func() bool {
		for i := range connections {
			if d.runs(pipelinedID(fmt.Sprintf("c%d", i), pipelined-1)) == 0 {
				return false
			}
		}
		return true
	})
	d.signals[1] <- syscall.SIGTERM
	clients.Wait()
	is.NoErr(<-d.ended[1])
}

func pipelinedID(name string, i int) string { return fmt.Sprintf("%s-%d", name, i) }

// pipeline sends lookups on one connection before it reads the first response. It returns
// for each lookup whether it got a complete response.
func (d *testDeployment) pipeline(entry int, name string, count int) []bool {
	answered := make([]bool, count)
	address := d.entries[entry].settings.Callers.String()
	c, err := net.Dial("tcp", address)
	if err != nil {
		d.t.Error(err)
		return answered
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(waitTimeout))
	for i := range count {
		req, err := faker.NewRequest(context.Background(), http.MethodGet, address, "/read/x", pipelinedID(name, i), waitTimeout)
		if err == nil {
			err = req.Write(c)
		}
		if err != nil {
			d.t.Error(err)
			return answered
		}
	}
	in := bufio.NewReader(c)
	for i := range answered {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			return answered
		}
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		answered[i] = err == nil && resp.StatusCode == http.StatusOK
	}
	return answered
}
