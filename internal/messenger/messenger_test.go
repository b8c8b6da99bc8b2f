package messenger

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"github.com/azuretrestle/azuretrestle/internal/reducer"
	"github.com/azuretrestle/azuretrestle/internal/versioner"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testTimeout = 5 * time.Second

type received struct {
	from        string
	incarnation uint64
	message     reducer.PeerMessage
}

type inbox struct {
	messages    chan received
	unreachable chan string
}

func newInbox() *inbox {
	return &inbox{make(chan received, 4096), make(chan string, 4096)}
}

func (b *inbox) Received(from string, incarnation uint64, m reducer.PeerMessage) {
	b.messages <- received{from, incarnation, m}
}
func (b *inbox) Unreachable(peer string) { b.unreachable <- peer }

func next[T any](t *testing.T, ch chan T) T {
	t.Helper()
	select {
	case v := <-ch:
		return v
	case <-time.After(testTimeout):
		t.Fatal("nothing received within the test timeout")
		panic("unreachable")
	}
}

func listen(t *testing.T) (net.Listener, netip.AddrPort) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	return lis, netip.MustParseAddrPort(lis.Addr().String())
}

func start(t *testing.T, name string, incarnation uint64, c *Certificates) (*Messenger, *inbox, netip.AddrPort) {
	t.Helper()
	in := newInbox()
	m := New(Options{Name: name, Incarnation: incarnation, Certificates: c}, in)
	t.Cleanup(m.Close)
	lis, address := listen(t)
	m.Serve(lis)
	return m, in, address
}

func request(n uint64) reducer.PeerMessage {
	return reducer.ConfigRequest{Request: versioner.Request{Next: n}}
}

// TestDeliver guards against lost, reordered or duplicated messages, and against the
// delivery of messages that are addressed to another incarnation.
func TestDeliver(t *testing.T) {
	is := is.New(t)
	a, _, _ := start(t, "a", 1, nil)
	_, in, address := start(t, "b", 7, nil)
	for i := range uint64(300) {
		a.Send(reducer.Send{To: "b", Address: address, Incarnation: (i % 3) * 7 / 2, Message: request(i)})
	}
	// Incarnations 0 and 7 are delivered, 3 is not.
	for i := range uint64(300) {
		if i%3 == 1 {
			continue
		}
		is.Equal(next(t, in.messages), received{"a", 1, request(i)})
	}
	is.Equal(len(in.messages), 0)
}

// TestUnreachable guards against a missing report when a peer refuses connections or
// closes its connection.
func TestUnreachable(t *testing.T) {
	is := is.New(t)
	a, in, _ := start(t, "a", 1, nil)
	lis, address := listen(t)
	_ = lis.Close()
	a.Send(reducer.Send{To: "b", Address: address, Message: request(1)})
	is.Equal(next(t, in.unreachable), "b")

	c, got, address := start(t, "c", 1, nil)
	a.Send(reducer.Send{To: "c", Address: address, Message: request(1)})
	next(t, got.messages)
	c.Close()
	is.Equal(next(t, in.unreachable), "c")
}

// TestDisconnect guards against sending messages over the old connection after
// Disconnect.
func TestDisconnect(t *testing.T) {
	is := is.New(t)
	a, _, _ := start(t, "a", 1, nil)
	lis, address := listen(t)
	accepted := make(chan net.Conn, 2)
	go func() {
		for {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	a.Send(reducer.Send{To: "b", Address: address, Message: request(1)})
	silent := next(t, accepted)
	defer func() { _ = silent.Close() }()
	time.Sleep(dialBackoff)
	a.Disconnect("b")
	a.Disconnect("unknown")
	a.Send(reducer.Send{To: "b", Address: address, Message: request(2)})
	is.NoErr(next(t, accepted).Close())
}

// TestIdle guards against connections to idle peers that are never closed, and against
// a message that is lost or reported as lost while the connection closes.
func TestIdle(t *testing.T) {
	is := is.New(t)
	a, in, _ := start(t, "a", 1, nil)
	a.idleTimeout = 5 * time.Millisecond
	_, got, address := start(t, "b", 1, nil)
	for i := range uint64(20) {
		a.Send(reducer.Send{To: "b", Address: address, Message: request(i)})
		is.Equal(next(t, got.messages).message, request(i))
		time.Sleep(time.Duration(i%3) * a.idleTimeout)
	}
	deadline := time.Now().Add(testTimeout)
	for a.Stats().Peers > 0 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	is.Equal(a.Stats().Peers, 0)
	is.Equal(len(in.unreachable), 0)
}

// TestPeerDoesNotRead guards against a sender that blocks or uses unbounded memory
// because a peer keeps its connection open but does not read.
func TestPeerDoesNotRead(t *testing.T) {
	is := is.New(t)
	a, in, _ := start(t, "a", 1, nil)
	_, address := listen(t)
	big := reducer.ResultCopy{}
	big.Key = string(make([]byte, 64<<10))
	startedAt := time.Now()
	for range 3 * maxQueued {
		a.Send(reducer.Send{To: "b", Address: address, Message: big})
	}
	is.True(time.Since(startedAt) < testTimeout)
	is.Equal(next(t, in.unreachable), "b")
	is.True(a.Stats().Dropped >= maxQueued)
}

// TestMalformedInput guards against a panic on received bytes that are not drpc or not a batch.
func TestMalformedInput(t *testing.T) {
	is := is.New(t)
	_, in, address := start(t, "b", 1, nil)
	for _, s := range []string{"GET / HTTP/1.1\r\n\r\n", "\x00\x00\x00", "\xff\xff\xff\xff\xff\xff\xff"} {
		c, err := net.Dial("tcp", address.String())
		is.NoErr(err)
		_, err = c.Write([]byte(s))
		is.NoErr(err)
		is.NoErr(c.Close())
	}
	a, _, _ := start(t, "a", 1, nil)
	a.Send(reducer.Send{To: "b", Address: address, Message: request(1)})
	next(t, in.messages)
}

// authority is a certificate authority for tests.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func template(name string, serial int64) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial), DNSNames: []string{name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
}

func newAuthority(t *testing.T) authority {
	t.Helper()
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	c := template("authority", 1)
	c.IsCA, c.BasicConstraintsValid, c.KeyUsage = true, true, x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, c, c, &key.PublicKey, key)
	is.NoErr(err)
	cert, err := x509.ParseCertificate(der)
	is.NoErr(err)
	return authority{cert, key}
}

// write replaces the files in dir by a new certificate for the given name, its key and the authority's certificate.
func (a authority) write(t *testing.T, dir, name string) Files {
	t.Helper()
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	der, err := x509.CreateCertificate(rand.Reader, template(name, 2), a.cert, &key.PublicKey, a.key)
	is.NoErr(err)
	private, err := x509.MarshalECPrivateKey(key)
	is.NoErr(err)
	f := Files{filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem"), filepath.Join(dir, "authority.pem")}
	for _, x := range []struct {
		file, kind string
		der        []byte
	}{
		{f.Certificate, "CERTIFICATE", der},
		{f.Key, "EC PRIVATE KEY", private},
		{f.Authority, "CERTIFICATE", a.cert.Raw},
	} {
		tmp := x.file + ".new"
		is.NoErr(os.WriteFile(tmp, pem.EncodeToMemory(&pem.Block{Type: x.kind, Bytes: x.der}), 0o600))
		is.NoErr(os.Rename(tmp, x.file))
	}
	return f
}

// TestCertificates guards against accepting a certificate of another authority or a
// sender name that is not in the certificate, and against requiring a restart after the
// files were replaced.
func TestCertificates(t *testing.T) {
	is := is.New(t)
	load := func(f Files) *Certificates {
		c, err := LoadCertificates(f, zap.NewNop())
		is.NoErr(err)
		return c
	}
	first, second := newAuthority(t), newAuthority(t)
	dirA, dirB := t.TempDir(), t.TempDir()
	certsA := load(first.write(t, dirA, "a"))
	a, inA, _ := start(t, "a", 1, certsA)
	b, in, address := start(t, "b", 1, load(first.write(t, dirB, "b")))
	impostor, inImpostor, _ := start(t, "impostor", 1, certsA)
	untrusted, inUntrusted, _ := start(t, "a", 1, load(second.write(t, t.TempDir(), "a")))

	a.Send(reducer.Send{To: "b", Address: address, Message: request(1)})
	is.Equal(next(t, in.messages).message, request(1))
	impostor.Send(reducer.Send{To: "b", Address: address, Message: request(2)})
	is.Equal(next(t, inImpostor.unreachable), "b")
	untrusted.Send(reducer.Send{To: "b", Address: address, Message: request(3)})
	is.Equal(next(t, inUntrusted.unreachable), "b")
	is.Equal(len(in.messages), 0)

	// The connection from a stays open. Only new connections use the new files.
	second.write(t, dirB, "b")
	untrusted.Send(reducer.Send{To: "b", Address: address, Message: request(4)})
	deadline := time.Now().Add(testTimeout)
	for len(in.messages) == 0 && time.Now().Before(deadline) {
		untrusted.Send(reducer.Send{To: "b", Address: address, Message: request(4)})
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(next(t, in.messages).message, request(4))
	is.Equal(len(inA.unreachable), 0)
	b.Close()
}
