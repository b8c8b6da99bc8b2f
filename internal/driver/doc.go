// Package driver runs the node of package reducer on real sockets and timers: it
// feeds the node with events and carries out the effects that the node returns.
package driver
