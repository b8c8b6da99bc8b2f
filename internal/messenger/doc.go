// Package messenger carries messages between entries over drpc.
package messenger
