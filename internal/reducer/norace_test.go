//go:build !race

package reducer_test

// stride is the distance between the steps at which TestFaults injects a fault; 1 means every step.
const stride = 1
