package caller

import (
	"strconv"

	"github.com/azuretrestle/azuretrestle/pkg/classifier"
)

// Failure is the error of a request without an answer; its outcome covers all attempts.
type Failure struct {
	// Outcome is NotRun only if no attempt can have run.
	Outcome classifier.Outcome
	// Code is that of the last attempt.
	Code     classifier.Code
	Attempts int
	// Key is the idempotency key of once-only work; with the outcome Unknown, the
	// same work may be sent again only with this key.
	Key string
	err error
}

func failure(code classifier.Code, o classifier.Outcome, err error) *Failure {
	return &Failure{Code: code, Outcome: o, err: err}
}

// Error returns outcome, code and cause.
func (f *Failure) Error() string {
	s := f.Outcome.String() + ": " + f.Code.String() + " after " + strconv.Itoa(f.Attempts) + " attempts: " + f.Code.Text()
	if f.err != nil {
		s += ": " + f.err.Error()
	}
	return s
}

// Unwrap returns the cause, nil if an entry refused.
func (f *Failure) Unwrap() error { return f.err }

// worthRetry reports whether another entry may carry the request out. Refusals
// for overload and for a deadline aren't repeated, as that would add to the load.
func worthRetry(code classifier.Code) bool {
	switch code {
	case classifier.EntryStopping, classifier.EntryStale, classifier.NotConfigured, classifier.NoUpstream,
		classifier.UpstreamUnreachable, classifier.UpstreamRefused, classifier.ConnectionLost, classifier.AnswerTruncated,
		classifier.EntryUnreachable, classifier.EntryLost, classifier.AnswerMalformed,
		classifier.WitnessSilent, classifier.WitnessLost, classifier.OwnerSilent, classifier.KeyInProgress:
		return true
	default:
		return false
	}
}
