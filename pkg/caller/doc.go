// Package caller is the client library: it finds an entry, sends requests and
// repeats them where that is safe.
package caller
