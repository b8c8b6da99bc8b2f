package deduplicator

import "github.com/azuretrestle/azuretrestle/pkg/classifier"

// Holder is one claim of an entry on a key. Sequence is never used twice by an
// incarnation, so that a claim which was barred can't be taken for a later one.
type Holder struct {
	Name        string
	Incarnation uint64
	Sequence    uint64
}

// Intent asks the witness for the right to run a key.
type Intent struct {
	Key        string
	BodyDigest uint64
	Owner      Holder
	// Barred is the claim that its holder barred; the witness moves the right
	// from it to Owner. It is zero for a first request.
	Barred Holder
}

// Reply is the witness's answer to an Intent.
type Reply interface{ reply() }

// Grant gives the right to run a key to one claim.
type Grant struct {
	Key      string
	Sequence uint64
}

// Reason says why a witness denied a key.
type Reason uint8

// The reasons of a Denial.
const (
	// Owned means that another claim has the right.
	Owned Reason = iota + 1
	// Reused means that the key came with another body before.
	Reused
	// Expired means that the key is older than the retention time.
	Expired
	// Full means that the witness can record no more keys.
	Full
	// Lost means that the key names another incarnation of the witness.
	Lost
)

// Denial refuses the right to run a key.
type Denial struct {
	Key string
	// Sequence is that of the denied claim.
	Sequence uint64
	Reason   Reason
	// Owner is the claim that has the right, for the reason Owned.
	Owner Holder
	// Result is set if the owner has reported one.
	Result *Result
}

// Fence asks an owner for the state of a key and bars its claim if it has not been dispatched.
type Fence struct {
	Key   string
	Owner Holder
}

// State is that of a key at its owner.
type State uint8

// The states in a FenceAnswer.
const (
	// Forgotten means that the owner has no record of the claim.
	Forgotten State = iota
	// Barred means that the claim was not dispatched and never will be.
	Barred
	// InProgress means that the claim was dispatched and has no result yet.
	InProgress
	// Finished means that the result is known.
	Finished
)

// FenceAnswer tells the state of a claim at its owner.
type FenceAnswer struct {
	Key    string
	Owner  Holder
	State  State
	Result *Result
}

// ResultCopy gives the witness the result of a key.
type ResultCopy struct {
	Key    string
	Owner  Holder
	Result Result
}

// Result is the final result of a key.
type Result struct {
	// Outcome is OutcomeDone, OutcomeUnknown, or OutcomeNotRun if the key was closed without a run.
	Outcome classifier.Outcome
	// Code goes with outcomes other than OutcomeDone.
	Code        classifier.Code
	Status      int
	ContentType string
	// Kept is set if Body holds the whole answer, which may be empty.
	Kept bool
	Body []byte
}

func (Grant) reply()  {}
func (Denial) reply() {}
