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

// TestWitnessUnreachable guards against a first attempt that waits for a
// witness whose host is dead, against one that ends over a single broken
// connection, and against a repeat that is told not run.
func TestWitnessUnreachable(t *testing.T) {
	for _, first := range []bool{true, false} {
		is := is.New(t)
		b := newBed(t, testService(1), 1)
		b.node.view.Put(gossiper.Entry{Name: "w", Incarnation: 5, State: gossiper.Alive, HeardAt: b.now})
		id, err := uuid.NewV7()
		is.NoErr(err)
		key := deduplicator.Key{ID: id.String(), Witness: "w", WitnessIncarnation: 5}
		sent := b.step(RequestArrived{
			Stamp: Stamp{b.now}, ID: 7, Service: "S", Rank: "Post", Key: key.String(), FirstAttempt: first, Replayable: true,
		})
		is.Equal(len(find[Send](sent)), 1)
		is.Equal(len(find[Refuse](b.step(PeerUnreachable{Stamp: Stamp{b.now}, Peer: "w"}))), 0)
		is.Equal(len(find[Refuse](b.wait(150*time.Millisecond))), 0)
		b.step(PeerUnreachable{Stamp: Stamp{b.now}, Peer: "other"})
		refused := find[Refuse](b.step(PeerUnreachable{Stamp: Stamp{b.now}, Peer: "w"}))
		if !first {
			is.Equal(len(refused), 0)
			refused = find[Refuse](b.wait(time.Second))
			is.Equal(refused, []Refuse{{ID: 7, Code: classifier.WitnessSilent, Outcome: classifier.OutcomeUnknown}})
			continue
		}
		is.Equal(refused, []Refuse{{ID: 7, Code: classifier.WitnessSilent, Outcome: classifier.OutcomeNotRun}})
	}
}
