//go:build race

package reducer_test

// stride is the distance between the steps at which TestFaults injects a fault, and
// between the offsets in TestLongFaults. It is larger under the race detector: memory
// shared between nodes is found whatever the step of a fault.
const stepInterval = 16
