// Package faker provides fakes of the platform log, the host list and upstreams for tests.
package faker
