// Package administrator serves the HTTP interface for operators and monitoring,
// and holds the client of that interface.
package administrator
