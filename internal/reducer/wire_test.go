package reducer

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
)

// TestExchangeEncoding guards against facts that a message loses in CBOR, and against a digest that grows.
func TestExchangeEncoding(t *testing.T) {
	is := is.New(t)
	l := newLab(t, six...)
	l.record = true
	l.run(5 * time.Second)
	seen := 0
	for _, ev := range l.nodes["a1"].events {
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
