package commander

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azuretrestle/azuretrestle/platform/faker"
)

// TestEntryRetryAfter guards against requests that are sent to an upstream before the
// time for which it asked for none in a refusal.
func TestEntryRetryAfter(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 1)
	refusing := d.servers[0]
	refusing.SetFault(faker.FaultShed)
	refusing.SetRetryAfter("3.5")
	sent := 0
	send := func() {
		sent++
		d.send(0, http.MethodGet, "/read/x", fmt.Sprint("r", sent))
	}
	d.wait("first refusal", func() bool {
		send()
		return refusing.Requests() > 0
	})
	pausedUntil := time.Now().Add(3 * time.Second)
	for time.Now().Before(pausedUntil) {
		send()
	}
	is.Equal(refusing.Requests(), 1)
	refusing.SetFault(faker.FaultNone)
	d.wait("requests after the pause", func() bool {
		send()
		return refusing.Requests() > 1
	})
}
