// Package bencher compares the routing policy of real reducers with simple baselines, in a simulation on virtual time.
package bencher
