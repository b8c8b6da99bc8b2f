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

var errDialBackoff = errors.New("dial suppressed: backoff after the previous dial has not expired")

// Files holds the paths of the PEM files for mutual TLS. The certificate must contain
// the name of its entry as a DNS name.
type Files struct {
	Certificate string
	Key         string
	Authority   string
}

// Certificates holds the content of the files and reloads them when they change.
type Certificates struct {
	files  Files
	logger *zap.Logger

	mu         sync.Mutex
	loadedInfo [3]fs.FileInfo
	pair       tls.Certificate
	trusted    *x509.CertPool
	lastError  string
}

// LoadCertificates reads the files. It fails if a file is missing or malformed.
func LoadCertificates(f Files, l *zap.Logger) (*Certificates, error) {
	c := &Certificates{files: f, logger: l}
	if err := c.reload(); err != nil {
		return nil, err
	}
	return c, nil
}

func (c *Certificates) reload() error {
	info := c.stat()
	pair, err := tls.LoadX509KeyPair(c.files.Certificate, c.files.Key)
	if err != nil {
		return errors.Wrap(err, "load certificate and key")
	}
	pem, err := os.ReadFile(c.files.Authority)
	if err != nil {
		return errors.Wrap(err, "read authority certificates")
	}
	trusted := x509.NewCertPool()
	if !trusted.AppendCertsFromPEM(pem) {
		return errors.Errorf("no authority certificate in %s", c.files.Authority)
	}
	c.loadedInfo, c.pair, c.trusted = info, pair, trusted
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
		loaded := c.loadedInfo[i]
		if now == nil {
			continue
		}
		if loaded == nil || !os.SameFile(loaded, now) || loaded.Size() != now.Size() || !loaded.ModTime().Equal(now.ModTime()) {
			return true
		}
	}
	return false
}

// current returns the newest valid content. If the files are inconsistent, as they are
// while they are being replaced, the earlier content stays in use.
func (c *Certificates) current() (tls.Certificate, *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.changed() {
		return c.pair, c.trusted
	}
	err := c.reload()
	switch {
	case err == nil:
		c.lastError = ""
		c.logger.Info("certificates reloaded")
	case err.Error() != c.lastError:
		c.lastError = err.Error()
		c.logger.Warn("certificates not reloaded", zap.NamedError("Error", err))
	}
	return c.pair, c.trusted
}

// serverConfig returns a configuration that uses the current files for each handshake.
func (c *Certificates) serverConfig() *tls.Config {
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

func (c *Certificates) clientConfig(peer string) *tls.Config {
	pair, trusted := c.current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{pair},
		RootCAs:      trusted,
		ServerName:   peer,
	}
}
