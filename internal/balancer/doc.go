// Package balancer chooses the upstream for a request and keeps the state of a service's upstreams.
package balancer
