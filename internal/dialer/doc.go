// Package dialer is an HTTP/1.1 connection pool for one upstream. Unlike the
// transport of net/http it never sends a request twice, reports whether any byte
// of a request was sent, and checks that a response belongs to its request.
package dialer
