//go:build race

package reducer_test

// stepInterval is the distance between the steps at which TestFaults injects a fault,
// and between the offsets in TestLongFaults. It is larger under the race detector,
// which finds memory shared between nodes whatever the step of a fault.
const stepInterval = 16
