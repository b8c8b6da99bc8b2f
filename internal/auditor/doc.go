// Package auditor buffers audit entries until they are appended to the platform log, and
// holds the newest entries that were read from the log (the audit trail).
package auditor
