// Package sizer works out what the target size needs from measured slopes.
package sizer
