// Package router selects the route of a request by its host and path, and by
// weight one of the services that share the route.
package router
