// Package deduplicator keeps once-only requests from running twice.
package deduplicator
