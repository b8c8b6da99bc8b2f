// Package reducer implements the logic of a node as a deterministic state machine:
// each step takes an event and returns the effects to carry out.
package reducer
