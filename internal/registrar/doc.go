// Package registrar combines the operator's document, which defines routes and
// services, with the registrations of upstreams into a configuration.
package registrar
