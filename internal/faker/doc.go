// Package faker holds small stand-ins of the platform log, the host list and upstreams.
package faker
