// Package versioner folds the configuration from the platform log and decides when a version is in force.
package versioner
