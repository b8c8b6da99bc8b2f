// Package balancer chooses the upstream for a request and tracks the health and load of a service's upstreams.
package balancer
