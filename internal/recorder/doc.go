// Package recorder is a client of the platform log and of the platform's host list.
package recorder
