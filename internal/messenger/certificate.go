package messenger

import (
	"crypto/tls"
	"crypto/x509"
	"io/fs"
	"os"
	"sync"

	"github.com/pkg/errors"
	"go.uber.org/zap"
)

var errRedial = errors.New("peer could not be reached a moment ago")

// Files names the PEM files for mutual TLS. A certificate must carry the
// name of its entry as a DNS name.
type Files struct {
	Certificate string
	Key         string
	Authority   string
}

// Certificates holds the current content of the files and reads them again once they change.
type Certificates struct {
	files  Files
	logger *zap.Logger

	mu       sync.Mutex
	seen     [3]fs.FileInfo
	pair     tls.Certificate
	trusted  *x509.CertPool
	reported string
}

// LoadCertificates reads the files; it fails if one is missing or malformed.
func LoadCertificates(f Files, l *zap.Logger) (*Certificates, error) {
	c := &Certificates{files: f, logger: l}
	if err := c.reload(); err != nil {
		return nil, err
	}
	return c, nil
}

func (c *Certificates) reload() error {
	seen := c.stat()
	pair, err := tls.LoadX509KeyPair(c.files.Certificate, c.files.Key)
	if err != nil {
		return errors.Wrap(err, "certificate and key")
	}
	pem, err := os.ReadFile(c.files.Authority)
	if err != nil {
		return errors.Wrap(err, "authority")
	}
	trusted := x509.NewCertPool()
	if !trusted.AppendCertsFromPEM(pem) {
		return errors.Errorf("authority: no certificate in %s", c.files.Authority)
	}
	c.seen, c.pair, c.trusted = seen, pair, trusted
	return nil
}

func (c *Certificates) stat() [3]fs.FileInfo {
	var out [3]fs.FileInfo
	for i, name := range []string{c.files.Certificate, c.files.Key, c.files.Authority} {
		out[i], _ = os.Stat(name)
	}
	return out
}

func (c *Certificates) changed() bool {
	for i, now := range c.stat() {
		was := c.seen[i]
		if now == nil {
			continue
		}
		if was == nil || !os.SameFile(was, now) || was.Size() != now.Size() || !was.ModTime().Equal(now.ModTime()) {
			return true
		}
	}
	return false
}

// current returns the newest usable content. Files that don't fit together,
// as while they are being replaced, leave the earlier content in use.
func (c *Certificates) current() (tls.Certificate, *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.changed() {
		return c.pair, c.trusted
	}
	err := c.reload()
	switch {
	case err == nil:
		c.reported = ""
		c.logger.Info("certificates reloaded")
	case err.Error() != c.reported:
		c.reported = err.Error()
		c.logger.Warn("certificates not reloaded", zap.NamedError("Error", err))
	}
	return c.pair, c.trusted
}

// server returns a configuration that asks for the current files at each handshake.
func (c *Certificates) server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			pair, trusted := c.current()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{pair},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    trusted,
			}, nil
		},
	}
}

func (c *Certificates) client(peer string) *tls.Config {
	pair, trusted := c.current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{pair},
		RootCAs:      trusted,
		ServerName:   peer,
	}
}
