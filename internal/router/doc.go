// Package router selects the route of a request by its host and path, and the
// service among those that share the route.
package router
