// Package deduplicator prevents once-only requests from being executed twice. The
// entry that receives a request (the owner) asks the entry that the request's key
// names (the witness) for ownership of the key before it dispatches the request.
package deduplicator
