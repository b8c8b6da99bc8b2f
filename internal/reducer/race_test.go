//go:build race

package reducer_test

// stride thins out the steps of TestFaults under the race detector, which looks
// for memory shared between nodes and does not depend on the place of a fault.
const stride = 16
