package reducer

import (
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"github.com/azuretrestle/azuretrestle/internal/deduplicator"
	"github.com/azuretrestle/azuretrestle/internal/gossiper"
	"github.com/azuretrestle/azuretrestle/pkg/classifier"
)

// TestWitnessUnreachable guards against a first attempt that waits for the timeout
// although its witness can't be reached, against one that is refused after a single
// undelivered message, and against a retry that is refused as not run although an
// earlier attempt may have run.
func TestWitnessUnreachable(t *testing.T) {
	for _, first := range []bool{true, false} {
		is := is.New(t)
		b := newTestBench(t, testService(1), 1)
		b.node.view.Put(gossiper.Entry{Name: "w", Incarnation: 5, State: gossiper.Alive, HeardAt: b.now})
		id, err := uuid.NewV7()
		is.NoErr(err)
		key := deduplicator.Key{ID: id.String(), Witness: "w", WitnessIncarnation: 5}
		sent := b.step(RequestArrived{
			Stamp: Stamp{b.now}, ID: 7, Service: "S", Rank: "Post", Key: key.String(), FirstAttempt: first, Replayable: true,
		})
		is.Equal(len(effectsOf[Send](sent)), 1)
		is.Equal(len(effectsOf[Refuse](b.step(PeerUnreachable{Stamp: Stamp{b.now}, Peer: "w"}))), 0)
		is.Equal(len(effectsOf[Refuse](b.wait(150*time.Millisecond))), 0)
		b.step(PeerUnreachable{Stamp: Stamp{b.now}, Peer: "other"})
		refused := effectsOf[Refuse](b.step(PeerUnreachable{Stamp: Stamp{b.now}, Peer: "w"}))
		if !first {
			is.Equal(len(refused), 0)
			refused = effectsOf[Refuse](b.wait(time.Second))
			is.Equal(refused, []Refuse{{ID: 7, Code: classifier.WitnessSilent, Outcome: classifier.OutcomeUnknown}})
			continue
		}
		is.Equal(refused, []Refuse{{ID: 7, Code: classifier.WitnessSilent, Outcome: classifier.OutcomeNotRun}})
	}
}
