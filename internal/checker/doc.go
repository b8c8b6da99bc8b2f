// Package checker checks the invariants of docs/INVARIANTS.md on traces of
// the events and effects of several nodes. It does not read internal state.
package checker
