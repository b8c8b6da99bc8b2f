// Package soaker runs entries as separate processes, injects faults from outside
// by a plan derived from a seed, and checks what callers and upstreams observe.
package soaker
