package deduplicator

import "github.com/azuretrestle/azuretrestle/pkg/classifier"

// Holder identifies one claim of an entry on a key. An incarnation never reuses a
// Sequence, so a barred claim cannot be mistaken for a later one.
type Holder struct {
	Name        string
	Incarnation uint64
	Sequence    uint64
}

// Intent asks the witness for ownership of a key. Only the owner may execute the
// request of the key.
type Intent struct {
	Key        string
	BodyDigest uint64
	Owner      Holder
	// Barred is a claim that its holder has barred. The witness transfers ownership
	// from it to Owner. It is zero for a first request.
	Barred Holder
}

// Reply is the response of a witness to an Intent.
type Reply interface{ reply() }

// Grant gives ownership of a key to one claim.
type Grant struct {
	Key      string
	Sequence uint64
}

// Reason is the reason for which a witness denied a key.
type Reason uint8

// The reasons of a Denial.
const (
	// Owned means that another claim owns the key.
	Owned Reason = iota + 1
	// Reused means that the key was used before with a different body.
	Reused
	// Expired means that the key is older than the retention time.
	Expired
	// WitnessFull means that the table of the witness is full.
	WitnessFull
	// WitnessLost means that the key names another witness or incarnation, or is not valid.
	WitnessLost
)

// Denial refuses ownership of a key.
type Denial struct {
	Key string
	// Sequence is the sequence of the denied claim.
	Sequence uint64
	Reason   Reason
	// Owner is the claim that owns the key. It is set for the reason Owned only.
	Owner Holder
	// Result is set if the owner has reported a result.
	Result *Result
}

// Fence asks an owner for the state of its claim on a key, and bars the claim if no
// attempt has been dispatched.
type Fence struct {
	Key   string
	Owner Holder
}

// State is the state of a claim at its owner.
type State uint8

// The states in a FenceAnswer.
const (
	// NoRecord means that the owner has no record of the claim.
	NoRecord State = iota
	// Barred means that no attempt was dispatched under the claim and none will be.
	Barred
	// InProgress means that an attempt was dispatched and has no result yet.
	InProgress
	// Finished means that the result is known.
	Finished
)

// FenceAnswer answers a Fence with the state of the claim at its owner.
type FenceAnswer struct {
	Key    string
	Owner  Holder
	State  State
	Result *Result
}

// ResultCopy sends the result of a key to its witness.
type ResultCopy struct {
	Key    string
	Owner  Holder
	Result Result
}

// Result is the final result of a key.
type Result struct {
	// Outcome is OutcomeDone, OutcomeUnknown, or OutcomeNotRun if the key was closed
	// without executing the request.
	Outcome classifier.Outcome
	// Code is set for outcomes other than OutcomeDone.
	Code        classifier.Code
	Status      int
	ContentType string
	// Kept is set if Body holds the complete response body, which may be empty.
	Kept bool
	Body []byte
}

func (Grant) reply()  {}
func (Denial) reply() {}
