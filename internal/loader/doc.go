// Package loader is an open-loop load generator: the start times of requests don't
// depend on the responses, and latency is measured from the intended start.
package loader
