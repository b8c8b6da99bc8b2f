package caller_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/azuretrestle/azuretrestle/pkg/caller"
	"github.com/azuretrestle/azuretrestle/pkg/classifier"
)

// Example shows once-only work whose outcome may be unknown.
func Example() {
	c := caller.New([]netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")}, caller.WithDataCentre("koshi-1"))
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()

	answer, err := c.Do(ctx, caller.Request{
		Service: "Payments", Rank: "Posting", Method: "POST", Path: "/loads/17", Body: []byte("120 kg"), OnceOnly: true,
	})
	var f *caller.Failure
	switch {
	case err == nil:
		fmt.Println("paid", answer.Status)
	case errors.As(err, &f) && f.Outcome == classifier.OutcomeNotRun:
		fmt.Println("not paid, may be sent again:", f.Code)
	case errors.As(err, &f):
		fmt.Println("ask the ledger; send again only with key", f.Key)
	}
	// Output: not paid, may be sent again: EntriesUnavailable
}
