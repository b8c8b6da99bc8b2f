package soaker

import "time"

// Bounds of the promises that are checked, as the operators state them.
const (
	// settlePeriod is the time without a disturbance after which an entry has to keep the bounds.
	settlePeriod = 3 * time.Second
	// drainBound is the time after which a departing upstream gets no new requests.
	drainBound = 2 * time.Second
	// configBound is the time within which a new configuration version takes effect.
	configBound = 2 * time.Second
	// revertSlack allows for requests that were in flight while the version changed.
	revertSlack = 250 * time.Millisecond
	// graceBound is the time that a planned stop may take.
	graceBound = 6 * time.Second
	// timeoutSlack is the time after a route's timeout within which a request must have ended.
	timeoutSlack = 500 * time.Millisecond
	// recoveryBound is the time after the last fault within which the system must recover.
	recoveryBound = 15 * time.Second
	// recoveryShare is the smallest share of the requests sent after recoveryBound that has to succeed.
	recoveryShare = 0.25
	// retryRatio, retrySlack and retryWindow define the retry budget.
	retryRatio  = 0.2
	retrySlack  = 56
	retryWindow = 10 * time.Second
	// maxDirectoryTTL bounds the validity of a directory response.
	maxDirectoryTTL = 5 * time.Second
	// probeRate is the number of probes per upstream and second, summed over all entries.
	probeRate = 60
)

// Timeouts of the routes in faker.Document.
const (
	readTimeout = 1500 * time.Millisecond
	postTimeout = 700 * time.Millisecond
)
