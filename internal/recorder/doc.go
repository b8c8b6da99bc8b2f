// Package recorder reads and appends to the platform log and reads the platform's host list.
package recorder
