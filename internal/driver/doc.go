// Package driver runs a reducer on real sockets and timers.
package driver
