package commander

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/azuretrestle/azuretrestle/platform/faker"
)

// TestEntryLeavingUpstream guards against requests that are sent to an upstream after it
// has announced in a response that it is about to stop, while its registration is
// unchanged or the store can't be read.
func TestEntryLeavingUpstream(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault faker.Fault
		store faker.StoreFault
	}{
		{"response", faker.FaultNone, faker.StoreServes},
		{"refusal", faker.FaultShed, faker.StoreServes},
		{"lost response after a health check", faker.FaultReset, faker.StoreServes},
		{"store unavailable", faker.FaultNone, faker.StoreRefuses},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := deploy(t, 1)
			d.store.SetFault(c.store)
			leaving := d.servers[0]
			leaving.SetFault(c.fault)
			leaving.SetLeaving(true)
			for i := range 60 {
				d.send(0, http.MethodGet, "/read/x", fmt.Sprint("r", i))
			}
			is.True(leaving.Requests() <= 1)
			is.True(d.servers[1].Requests() >= 59)
		})
	}
}
