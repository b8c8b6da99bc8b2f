// Package bencher measures the routing policy of real reducers in virtual time against simple baselines.
package bencher
