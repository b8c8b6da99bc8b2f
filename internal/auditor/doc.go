// Package auditor buffers audit records for the platform log.
package auditor
