package recorder_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"go.uber.org/goleak"

	"github.com/azuretrestle/azuretrestle/internal/faker"
	"github.com/azuretrestle/azuretrestle/internal/recorder"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func start(t *testing.T, h http.Handler) (*faker.Server, *recorder.Client) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := faker.Start(lis, h)
	c := recorder.NewClient(s.Address(), s.Address())
	t.Cleanup(func() {
		c.Close()
		s.Close()
	})
	return s, c
}

// TestAppendOutcome guards against reporting a record as refused that may be in the log.
// The node would append such a record a second time.
func TestAppendOutcome(t *testing.T) {
	status := func(code int, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			w.WriteHeader(code)
			_, _ = io.WriteString(w, body)
		}
	}
	for _, c := range []struct {
		name    string
		handler http.HandlerFunc
		ok      bool
		refused bool
	}{
		{"ok", status(200, `{"Offset":7,"Other":[1]}`), true, false},
		{"bad request", status(400, ""), false, true},
		{"not found", status(404, ""), false, true},
		{"server error", status(500, ""), false, false},
		{"unavailable", status(503, ""), false, false},
		{"redirect", status(307, ""), false, false},
		{"no JSON", status(200, "x"), false, false},
		{"no offset", status(200, "{}"), false, false},
		{"too large", status(200, strings.Repeat(" ", 17<<20)+`{"Offset":7}`), false, false},
		{"connection lost", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, false, false},
		{"silent", func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		}, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, client := start(t, c.handler)
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			offset, err := client.Append(ctx, "S", []byte("x"))
			is.Equal(err == nil, c.ok)
			is.Equal(errors.Is(err, recorder.ErrRefused), c.refused)
			if c.ok {
				is.Equal(offset, uint64(7))
			}
		})
	}
}

// TestUnreachableLog guards against reporting the outcome of an append as unknown although
// no data was sent.
func TestUnreachableLog(t *testing.T) {
	is := is.New(t)
	server, client := start(t, faker.NewLog().Handler())
	server.Close()
	_, err := client.Append(context.Background(), "S", []byte("x"))
	is.True(errors.Is(err, recorder.ErrRefused))
}

// TestLostAppendIsSentOnce guards against an automatic retry of an append by the transport
// when a reused connection closes after the log has stored the record and before its
// response.
func TestLostAppendIsSentOnce(t *testing.T) {
	is := is.New(t)
	log := faker.NewLog()
	_, client := start(t, log.Handler())
	for _, payload := range []string{"x", ""} {
		log.SetMode(faker.LogUp)
		before, err := client.Append(context.Background(), "S", nil)
		is.NoErr(err)
		log.SetMode(faker.LogLosesAnswers)
		_, err = client.Append(context.Background(), "S", []byte(payload))
		is.True(err != nil && !errors.Is(err, recorder.ErrRefused))
		page, err := client.Read(context.Background(), "S", before)
		is.NoErr(err)
		is.Equal(page.Tail, before+2)
	}
}

// TestHosts guards against field names that differ from those of the host list, and
// against an error on an unknown field.
func TestHosts(t *testing.T) {
	is := is.New(t)
	_, client := start(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `[{"Name":"e","Address":"10.0.0.1:80","DataCentre":"a","Role":"Entry","Leaving":true,"New":{}}]`)
	}))
	hosts, err := client.Hosts(context.Background())
	is.NoErr(err)
	is.Equal(hosts, []recorder.Host{{
		Name: "e", Address: netip.MustParseAddrPort("10.0.0.1:80"), DataCentre: "a", Role: "Entry", Leaving: true,
	}})
}
