package commander

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/azuretrestle/azuretrestle/internal/faker"
	"github.com/azuretrestle/azuretrestle/internal/parser"
	"github.com/azuretrestle/azuretrestle/pkg/caller"
)

// authority is a certificate authority that signs the certificates of the entries of a test.
type authority struct {
	*testing.T
	is   *is.I
	dir  string
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
}

func newAuthority(t *testing.T) *authority {
	a := &authority{T: t, is: is.New(t), dir: t.TempDir()}
	var err error
	a.key, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	a.is.NoErr(err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	a.is.NoErr(err)
	a.cert, err = x509.ParseCertificate(der)
	a.is.NoErr(err)
	a.writePEM("authority.pem", "CERTIFICATE", der)
	return a
}

func (a *authority) path(file string) string { return filepath.Join(a.dir, file) }

// writePEM replaces a file atomically, so that no reader sees a part of it.
func (a *authority) writePEM(file, kind string, der []byte) {
	a.is.NoErr(os.WriteFile(a.path("new"), pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	a.is.NoErr(os.Rename(a.path("new"), a.path(file)))
}

// issue replaces the certificate and the key of an entry.
func (a *authority) issue(name string, serial int64) parser.TLS {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	a.is.NoErr(err)
	der, err := x509.CreateCertificate(rand.Reader, &x509.Certificate{
		SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour),
		DNSNames: []string{name}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, a.cert, &key.PublicKey, a.key)
	a.is.NoErr(err)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	a.is.NoErr(err)
	a.writePEM(name+".key", "PRIVATE KEY", private)
	a.writePEM(name+".pem", "CERTIFICATE", der)
	return parser.TLS{Certificate: a.path(name + ".pem"), Key: a.path(name + ".key"), Authority: a.path("authority.pem")}
}

// servedSerial returns the serial number of the certificate that a listener presents to a
// client with the certificate of clientTLS.
func (a *authority) servedSerial(address netip.AddrPort, clientTLS parser.TLS) int64 {
	roots := x509.NewCertPool()
	roots.AddCert(a.cert)
	own, err := tls.LoadX509KeyPair(clientTLS.Certificate, clientTLS.Key)
	a.is.NoErr(err)
	conn, err := tls.Dial("tcp", address.String(), &tls.Config{RootCAs: roots, Certificates: []tls.Certificate{own}})
	a.is.NoErr(err)
	defer func() { _ = conn.Close() }()
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
}

// startTLSDemo starts three entries that use TLS between peers and for operators.
func startTLSDemo(t *testing.T, a *authority) *demoSystem {
	t.Helper()
	s := &demoSystem{deployment: deployments["Koshi"], log: faker.NewLog()}
	t.Cleanup(s.close)
	_, log, err := s.serve(s.log.Handler())
	a.is.NoErr(err)
	_, hosts, err := s.serve(new(faker.List).Handler())
	a.is.NoErr(err)
	a.is.NoErr(s.startUpstreams())
	ports, err := freePorts(3 * portsPerEntry)
	a.is.NoErr(err)
	for i := range 3 {
		set, err := s.settings(i, ports, log, hosts)
		a.is.NoErr(err)
		set.PeerTLS = a.issue(set.Name, 1)
		set.AdminTLS = parser.TLS{Certificate: set.PeerTLS.Certificate, Key: set.PeerTLS.Key}
		en, err := newEntry(set, zap.NewNop())
		a.is.NoErr(err)
		s.entries = append(s.entries, &demoEntry{entry: en})
	}
	a.is.NoErr(s.configure(t.Context()))
	return s
}

// TestReplacedCertificates guards against entries that can't work together
// over mutual TLS, against a peer accepted without a certificate, and
// against requests that fail while all certificates are replaced.
func TestReplacedCertificates(t *testing.T) {
	a := newAuthority(t)
	s := startTLSDemo(t, a)
	client := caller.New(s.callers(), caller.WithAttempts(1))
	defer client.Close()
	// In the first second after the start of a system a witness may be unreachable,
	// since a peer whose dial failed is not dialled again at once.
	time.Sleep(2 * time.Second)
	var sent, failed atomic.Int64
	var stop atomic.Bool
	var senders sync.WaitGroup
	for range 8 {
		senders.Go(func() {
			for !stop.Load() {
				sent.Add(1)
				_, err := client.Do(t.Context(), caller.Request{
					Service: "Payments", Rank: "Posting", Method: http.MethodPost, Path: "/x", OnceOnly: true, Body: []byte("x"),
				})
				if err != nil {
					failed.Add(1)
					t.Log(err)
				}
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	time.Sleep(300 * time.Millisecond)
	for serial := int64(2); serial <= 4; serial++ {
		for _, en := range s.entries {
			a.issue(en.settings.Name, serial)
		}
		time.Sleep(1200 * time.Millisecond)
		for _, en := range s.entries {
			a.is.Equal(a.servedSerial(en.settings.Peers, en.settings.PeerTLS), serial)
			a.is.Equal(a.servedSerial(en.settings.Administration, en.settings.PeerTLS), serial)
		}
	}
	stop.Store(true)
	senders.Wait()
	t.Logf("%d sent, %d failed", sent.Load(), failed.Load())
	a.is.True(sent.Load() > 100)
	a.is.Equal(failed.Load(), int64(0))
	conn, err := tls.Dial("tcp", s.entries[0].settings.Peers.String(), &tls.Config{InsecureSkipVerify: true})
	if err == nil {
		// With TLS 1.3 the client sees the refusal of its certificate at the first read.
		_, err = conn.Read(make([]byte, 1))
		_ = conn.Close()
	}
	a.is.True(err != nil)
}
