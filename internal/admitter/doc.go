// Package admitter queues the requests of a service by rank and refuses those that can't be answered in time.
package admitter
