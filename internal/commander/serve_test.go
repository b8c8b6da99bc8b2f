package commander

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"github.com/azuretrestle/azuretrestle/internal/parser"
)

// certificate writes a certificate for 127.0.0.1 and its key in PEM form.
func certificate(t *testing.T) (cert, key string) {
	t.Helper()
	is := is.New(t)
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	is.NoErr(err)
	raw, err := x509.MarshalPKCS8PrivateKey(private)
	is.NoErr(err)
	cert = filepath.Join(t.TempDir(), "c.pem")
	key = filepath.Join(t.TempDir(), "k.pem")
	is.NoErr(os.WriteFile(cert, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	is.NoErr(os.WriteFile(key, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: raw}), 0o600))
	return cert, key
}

// TestAdministrationTLS guards against an entry that accepts tokens over an
// unencrypted connection although its settings name a certificate, and against
// goroutines that outlive a planned stop.
func TestAdministrationTLS(t *testing.T) {
	defer goleak.VerifyNone(t)
	is := is.New(t)
	cert, key := certificate(t)
	free, err := freePorts(5)
	is.NoErr(err)
	const token = "0123456789abcdef0123"
	en, err := newEntry(&parser.Settings{
		Name: "e1", DataCentre: "north", Callers: free[0], Peers: free[1], Administration: free[2],
		Log: free[3], HostList: free[4], AdminTLS: parser.TLS{Certificate: cert, Key: key},
		Operators: []parser.Operator{{Name: "alice", Token: token}},
		Limits:    parser.Limits{Header: 4096, Idle: time.Minute, PatchBody: 1024, PatchPatience: time.Second, StopPatience: 30 * time.Second},
	}, zap.NewNop())
	is.NoErr(err)
	run := func(args ...string) (int, string) {
		var out bytes.Buffer
		e := &environment{stdout: &out, stderr: &out, getenv: func(string) string { return token }}
		return e.dispatch(append(args, "-entry", free[2].String())), out.String()
	}
	code, out := run("status", "-authority", cert)
	is.Equal(code, ExitOK)
	is.True(bytes.Contains([]byte(out), []byte("entry e1 in north")))
	code, _ = run("status")
	is.Equal(code, ExitFailure)
	is.NoErr(en.stop(nil))
}
