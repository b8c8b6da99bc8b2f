//go:build !race

package reducer_test

// stride is 1 so that TestFaults injects every fault at every step.
const stride = 1
