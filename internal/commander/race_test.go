//go:build race

package commander

// raceDetector is set if the race detector is on.
const raceDetector = true
