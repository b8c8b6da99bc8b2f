// Package acceptor serves HTTP/1.1 to callers. Unlike the server of net/http it
// starts pipelined requests before earlier ones are answered and notices a
// caller's leaving at any time.
package acceptor
