// Package registrar combines the operator's document, which names routes and
// services, with the registrations of upstreams into a configuration.
package registrar
