//go:build !race

package reducer_test

// stepInterval is the distance between the steps at which TestFaults injects a fault; 1 means every step.
const stepInterval = 1
