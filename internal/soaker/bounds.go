package soaker

import "time"

// Bounds of the promises that are checked, as the operators state them.
const (
	// contact is the time without disturbance after which an entry has to keep the bounds.
	contact = 3 * time.Second
	// drainBound is the time after which an upstream that leaves gets no new work.
	drainBound = 2 * time.Second
	// configBound is the time after which a version is in force.
	configBound = 2 * time.Second
	// revertSlack is the time by which requests may cross a change of the version.
	revertSlack = 250 * time.Millisecond
	// graceBound is the time that a planned stop may take.
	graceBound = 6 * time.Second
	// timeoutSlack is the time after the timeout of a route by which a request is answered.
	timeoutSlack = 500 * time.Millisecond
	// recoverBound is the time after the end of the faults from which requests are served.
	recoverBound = 15 * time.Second
	// recoverShare is the share of those that are served at least.
	recoverShare = 0.25
	// repeatRatio, repeatSlack and repeatWindow bound the requests that are sent once more.
	repeatRatio  = 0.2
	repeatSlack  = 56
	repeatWindow = 10 * time.Second
	// answerBound is the longest time for which a directory answer counts.
	answerBound = 5 * time.Second
	// probeRate is the number of probes per upstream and second, all entries together.
	probeRate = 60
)

// Timeouts of the routes of the stand-in's document.
const (
	readTimeout = 1500 * time.Millisecond
	postTimeout = 700 * time.Millisecond
)
