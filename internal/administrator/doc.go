// Package administrator serves the HTTP interface for operators and monitoring,
// and provides a client of that interface.
package administrator
