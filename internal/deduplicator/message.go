package deduplicator

import "time"

// Key identifies a once-only request: a UUIDv7 and the witness incarnation.
type Key struct {
	ID                 string
	Witness            string
	WitnessIncarnation uint64
}

// Intent asks the witness for the right to run a key.
type Intent struct {
	Key              string
	BodyDigest       uint64
	Owner            string
	OwnerIncarnation uint64
	Deadline         time.Time
}

// Grant gives the right to run a key.
type Grant struct{ Key string }

// Denial refuses the right to run a key.
type Denial struct{ Key string }

// Fence bars an owner from a later dispatch of a key.
type Fence struct{ Key string }

// FenceAnswer tells the state of a key at its owner.
type FenceAnswer struct{ Key string }

// ResultCopy gives the witness the result of a key.
type ResultCopy struct{ Key string }
