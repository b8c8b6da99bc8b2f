// Package loader is an open-loop load generator: requests start at times that
// don't depend on the answers, and latency counts from the intended start.
package loader
