// Package caller is the client library: it asks the system which entries to
// use, sends requests to them and retries where that is safe.
package caller
