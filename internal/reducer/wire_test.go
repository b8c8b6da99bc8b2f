package reducer

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
)

// TestExchangeEncoding guards against data that an exchange loses in CBOR, and
// against exchanges that grow to 400 bytes or more.
func TestExchangeEncoding(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, sixNames...)
	c.record = true
	c.run(5 * time.Second)
	seen := 0
	for _, ev := range c.nodes["a1"].events {
		received, ok := ev.(PeerMessageReceived)
		if !ok {
			continue
		}
		sent, ok := received.Message.(Exchange)
		is.True(ok)
		b, err := cbor.Marshal(sent)
		is.NoErr(err)
		is.True(len(b) < 400)
		var got Exchange
		is.NoErr(cbor.Unmarshal(b, &got))
		is.Equal(got, sent)
		seen++
	}
	is.True(seen > 20)
}
