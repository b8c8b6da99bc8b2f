package soaker

import (
	"io"
	"net"
	"testing"

	"github.com/matryer/is"
)

// TestRepeatedRefusal guards against soak runs in which no refusal is repeated, or other
// responses are.
func TestRepeatedRefusal(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	c := &repeatingConn{Conn: near}
	responses := []string{"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 421 Misdirected Request\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n"}
	go func() {
		for _, r := range responses {
			_, _ = io.WriteString(c, r)
		}
		_ = c.Close()
	}()
	got, err := io.ReadAll(far)
	is.NoErr(err)
	is.Equal(string(got), responses[0]+responses[1]+responses[1]+responses[2]+responses[3])
}
