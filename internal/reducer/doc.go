// Package reducer holds every decision of a node as one deterministic step
// from an event to effects.
package reducer
