// Package checker checks the invariants of docs/INVARIANTS.md on traces of
// the events and effects of several nodes. It looks at no internal state.
package checker
