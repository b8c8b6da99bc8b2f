//go:build race

package reducer_test

// stepInterval is the distance between the steps at which TestFaults injects a fault. It
// is larger under the race detector, which looks for memory shared between nodes
// and does not depend on the step of a fault.
const stepInterval = 16
