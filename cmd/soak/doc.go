// Command soak runs entries as separate processes on this host, injects faults
// from outside them and checks what callers and upstreams see.
package main
