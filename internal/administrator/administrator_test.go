package administrator

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"encoding/pem"
	"errors"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/azuretrestle/azuretrestle/internal/reducer"
	"github.com/azuretrestle/azuretrestle/pkg/classifier"
	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

const token = "0123456789abcdef0123"

// fakeNode returns the same result for every patch and keeps the last patch.
type fakeNode struct {
	result reducer.AnswerPatch
	// silent is set if Submit returns no result before its context ends.
	silent    bool
	submitted patcher.Patch
}

func (n *fakeNode) Submit(ctx context.Context, p patcher.Patch) (reducer.AnswerPatch, error) {
	n.submitted = p
	if n.silent {
		<-ctx.Done()
		return reducer.AnswerPatch{}, ctx.Err()
	}
	return n.result, nil
}

func (n *fakeNode) View(f func(*reducer.Node)) { f(reducer.New(reducer.Options{Name: "e1"})) }

// call serves a request from the given address with the given Authorization header.
func call(a *Administrator, method, path, from, auth, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.RemoteAddr = from
	r.Host = "127.0.0.1:8301"
	if auth != "" {
		r.Header.Set("Authorization", auth)
	}
	r.Header.Set("Content-Type", "application/json")
	w := httptest.NewRecorder()
	a.ServeHTTP(w, r)
	return w
}

const removePatch = `{"Base":0,"Actor":"mallory","Operations":[{"RemoveService":{"Name":"Tickets"}}]}`

// TestAuthorisation guards against requests that are accepted without a valid token, and
// against an actor name taken from the request body.
func TestAuthorisation(t *testing.T) {
	twoOperators := []Operator{{Name: "alice", Token: token}, {Name: "bob", Token: token + "x"}}
	const localAddr, remoteAddr = "127.0.0.1:5000", "10.0.0.9:5000"
	for _, c := range []struct {
		name      string
		operators []Operator
		from      string
		auth      string
		actor     string
	}{
		{"token", twoOperators, remoteAddr, "Bearer " + token, "alice"},
		{"second token", twoOperators, remoteAddr, "Bearer " + token + "x", "bob"},
		{"wrong token", twoOperators, localAddr, "Bearer " + token + "y", ""},
		{"shorter token", twoOperators, localAddr, "Bearer " + token[:19], ""},
		{"empty token", twoOperators, localAddr, "Bearer ", ""},
		{"other scheme", twoOperators, localAddr, "Basic " + token, ""},
		{"no token", twoOperators, remoteAddr, "", ""},
		{"no token on this host", twoOperators, localAddr, "", ""},
		{"no operators, other host", nil, remoteAddr, "", ""},
		{"no operators, this host", nil, localAddr, "", LocalOperator},
		{"no operators, mapped address", nil, "[::ffff:127.0.0.1]:9", "", LocalOperator},
		{"no operators, empty token", nil, localAddr, "Bearer ", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			n := &fakeNode{}
			a := New(n, WithOperators(c.operators))
			w := call(a, http.MethodPost, "/patches", c.from, c.auth, removePatch)
			is.Equal(n.submitted.Actor, c.actor)
			is.Equal(w.Code == http.StatusOK, c.actor != "")
			is.Equal(w.Code == http.StatusUnauthorized, c.actor == "")
			is.Equal(call(a, http.MethodGet, "/config", c.from, c.auth, "").Code == http.StatusOK, c.actor != "")
		})
	}
}

// TestRebinding guards against DNS rebinding, by which a web page opened on this host
// reaches the interface through a name of its own site.
func TestRebinding(t *testing.T) {
	is := is.New(t)
	n := &fakeNode{}
	r := httptest.NewRequest(http.MethodPost, "/patches", strings.NewReader(removePatch))
	r.RemoteAddr = "127.0.0.1:5000"
	r.Host = "evil.example:8301"
	r.Header.Set("Content-Type", "application/json")
	w := httptest.NewRecorder()
	New(n).ServeHTTP(w, r)
	is.Equal(w.Code, http.StatusUnauthorized)
}

// TestReplies guards against a wrong or missing result code in a response to an operator.
func TestReplies(t *testing.T) {
	for _, c := range []struct {
		method, path, body string
		node               fakeNode
		want               classifier.Code
	}{
		{"POST", "/patches", removePatch, fakeNode{result: reducer.AnswerPatch{Code: classifier.StaleVersion, Version: 4}}, classifier.StaleVersion},
		{"POST", "/patches", removePatch, fakeNode{silent: true}, classifier.PatchPending},
		{"POST", "/patches", "{", fakeNode{}, classifier.MalformedRequest},
		{"POST", "/patches", `{"Operations":[{}]}`, fakeNode{}, classifier.MalformedRequest},
		{"POST", "/patches", `{}`, fakeNode{}, classifier.PatchInvalid},
		{"POST", "/patches", `{"ID":"a b","Operations":[{"RemoveService":{}}]}`, fakeNode{}, classifier.PatchInvalid},
		{"POST", "/patches", strings.Repeat(" ", 1025), fakeNode{}, classifier.BodyTooLarge},
		{"GET", "/config?Version=3", "", fakeNode{}, classifier.StaleVersion},
		{"GET", "/config?Version=x", "", fakeNode{}, classifier.MalformedRequest},
		{"GET", "/healthz", "", fakeNode{}, classifier.NotOffered},
		{"GET", "/readyz", "", fakeNode{}, classifier.NotOffered},
		{"DELETE", "/config", "", fakeNode{}, classifier.MalformedRequest},
		{"GET", "/nothing", "", fakeNode{}, classifier.MalformedRequest},
	} {
		t.Run(c.method+c.path+c.want.String(), func(t *testing.T) {
			is := is.New(t)
			s := httptest.NewServer(New(&c.node, WithLimits(1024, 20*time.Millisecond)))
			defer s.Close()
			client, err := NewClient(netip.MustParseAddrPort(s.Listener.Addr().String()), "", "")
			is.NoErr(err)
			defer client.Close()
			var body []byte
			if c.body != "" {
				body = []byte(c.body)
			}
			err = client.do(t.Context(), c.method, c.path, body, new(any))
			var r Refusal
			is.True(errors.As(err, &r))
			is.Equal(r.Code, c.want)
			is.Equal(r.Version, c.node.result.Version)
		})
	}
}

func writeCertificate(t *testing.T, dir string, serial int64) {
	t.Helper()
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	is.NoErr(err)
	raw, err := x509.MarshalPKCS8PrivateKey(key)
	is.NoErr(err)
	is.NoErr(os.WriteFile(filepath.Join(dir, "c.pem"), pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	is.NoErr(os.WriteFile(filepath.Join(dir, "k.pem"), pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: raw}), 0o600))
}

// TestCertificateReload guards against an entry that needs a restart for a new
// certificate, or that stops using the old one when the new files are invalid.
func TestCertificateReload(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	writeCertificate(t, dir, 1)
	c, err := NewCertificate(filepath.Join(dir, "c.pem"), filepath.Join(dir, "k.pem"), zap.NewNop())
	is.NoErr(err)
	serial := func() int64 {
		c.nextCheck = time.Time{}
		pair, err := c.Config().GetCertificate(&tls.ClientHelloInfo{})
		is.NoErr(err)
		return pair.Leaf.SerialNumber.Int64()
	}
	is.Equal(serial(), int64(1))
	is.NoErr(os.WriteFile(filepath.Join(dir, "c.pem"), []byte("half"), 0o600))
	is.Equal(serial(), int64(1))
	writeCertificate(t, dir, 2)
	is.Equal(serial(), int64(2))

	s := httptest.NewUnstartedServer(New(&fakeNode{}))
	s.Listener = tls.NewListener(s.Listener, c.Config())
	s.Start()
	defer s.Close()
	client, err := NewClient(netip.MustParseAddrPort(s.Listener.Addr().String()), "", filepath.Join(dir, "c.pem"))
	is.NoErr(err)
	defer client.Close()
	status, err := client.Status(t.Context())
	is.NoErr(err)
	is.Equal(status.Name, "e1")
}

// FuzzPatch guards against a request body that leads to a response without a known code, or to a panic.
func FuzzPatch(f *testing.F) {
	f.Add(removePatch)
	f.Add(`{"Operations":[{"PutUpstream":{"InService":"S","Address":"1.2.3.4:5","Slots":1e3}}]}`)
	f.Fuzz(func(t *testing.T, body string) {
		w := call(New(&fakeNode{}), http.MethodPost, "/patches", "127.0.0.1:5000", "", body)
		var r Reply
		if err := json.Unmarshal(w.Body.Bytes(), &r); err != nil || !r.Code.Known() || w.Code != r.Code.Status() {
			t.Fatalf("%q gave status %d and body %q", body, w.Code, w.Body)
		}
	})
}
