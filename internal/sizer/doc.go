// Package sizer extrapolates the cost of an entry at the target size from measured slopes.
package sizer
