//go:build !race

package reducer_test

// stepInterval is the distance between the steps at which TestFaults injects a fault,
// and between the offsets in TestLongFaults; 1 means every step and every offset.
const stepInterval = 1
