// Package messenger sends and receives messages between entries over drpc, optionally
// with mutual TLS. Delivery is best effort: undelivered messages are dropped and their
// peer is reported to the handler.
package messenger
