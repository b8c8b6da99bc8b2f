// Package versioner folds the records of the platform log into the configuration: it
// applies patches in the order of their offsets. It also decides whether the version
// of a node is current, and when a new version is in force on all entries.
package versioner
