package caller

import (
	"strconv"

	"github.com/azuretrestle/azuretrestle/pkg/classifier"
)

// Failure is the error of a request without a response. Its outcome covers all attempts.
type Failure struct {
	// Outcome is NotRun only if no attempt can have been executed.
	Outcome classifier.Outcome
	// Code is the code of the last attempt.
	Code     classifier.Code
	Attempts int
	// Key is the idempotency key of once-only work. If the outcome is Unknown, the
	// same work may be sent again only with this key.
	Key string
	err error
}

func failure(code classifier.Code, o classifier.Outcome, err error) *Failure {
	return &Failure{Code: code, Outcome: o, err: err}
}

// Error returns the outcome, code, number of attempts and cause.
func (f *Failure) Error() string {
	s := f.Outcome.String() + ": " + f.Code.String() + " after " + strconv.Itoa(f.Attempts) + " attempts: " + f.Code.Text()
	if f.err != nil {
		s += ": " + f.err.Error()
	}
	return s
}

// Unwrap returns the cause, or nil if an entry refused the request.
func (f *Failure) Unwrap() error { return f.err }

// isRetryable reports whether a retry at another entry may succeed. Refusals
// for overload and for a deadline are not retried, since that would add to the load.
func isRetryable(code classifier.Code) bool {
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
