// Package acceptor is the HTTP/1.1 server for callers. Unlike the server of
// net/http it starts pipelined requests before earlier ones are answered, and
// cancels a request's context as soon as the caller closes the connection.
package acceptor
