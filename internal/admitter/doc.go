// Package admitter queues the requests of a service by rank and refuses those that can't be served in time.
package admitter
