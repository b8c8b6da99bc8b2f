// Package soaker runs entries as separate processes, injects faults from
// outside them by a plan that follows from a seed, and checks what callers and
// upstreams see of the system.
package soaker
