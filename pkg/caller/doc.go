// Package caller is the client library: it fetches the list of entries from the
// system, sends requests to them and retries where that is safe.
package caller
