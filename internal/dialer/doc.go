// Package dialer keeps HTTP/1.1 connections to one upstream. Unlike the
// transport of net/http it never sends a request twice, tells whether a byte of
// it left, and matches answers to requests.
package dialer
