package administrator

import (
	"crypto/tls"
	"os"
	"sync"
	"time"

	"go.uber.org/zap"
)

// reloadInterval is how often a changed certificate is looked for, at most.
const reloadInterval = time.Second

// Certificate is a certificate that is read again when its files change.
type Certificate struct {
	certFile string
	keyFile  string
	logger   *zap.Logger

	mu      sync.Mutex
	current *tls.Certificate
	stamp   fileStamp
	checkAt time.Time
}

// fileStamp tells one state of the two files from another.
type fileStamp struct {
	certTime, keyTime time.Time
	certSize, keySize int64
}

// NewCertificate reads a certificate and key in PEM form; it fails if they don't belong together.
func NewCertificate(certFile, keyFile string, l *zap.Logger) (*Certificate, error) {
	c := &Certificate{certFile: certFile, keyFile: keyFile, logger: l}
	stamp, err := c.look()
	if err != nil {
		return nil, err
	}
	pair, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, err
	}
	c.current = &pair
	c.stamp = stamp
	c.checkAt = time.Now().Add(reloadInterval)
	return c, nil
}

// Config returns a server configuration that uses the certificate.
func (c *Certificate) Config() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: c.get}
}

func (c *Certificate) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now(); now.After(c.checkAt) {
		c.checkAt = now.Add(reloadInterval)
		c.reload()
	}
	return c.current, nil
}

// reload keeps the old certificate if the new files can't be used, since they
// may be half written; the next check tries again.
func (c *Certificate) reload() {
	stamp, err := c.look()
	if err != nil {
		c.logger.Error("certificate files can't be read", zap.NamedError("Error", err))
		return
	}
	if stamp == c.stamp {
		return
	}
	pair, err := tls.LoadX509KeyPair(c.certFile, c.keyFile)
	if err != nil {
		c.logger.Error("certificate can't be loaded", zap.NamedError("Error", err))
		return
	}
	c.current = &pair
	c.stamp = stamp
	c.logger.Info("certificate reloaded", zap.String("File", c.certFile))
}

func (c *Certificate) look() (fileStamp, error) {
	cert, err := os.Stat(c.certFile)
	if err != nil {
		return fileStamp{}, err
	}
	key, err := os.Stat(c.keyFile)
	if err != nil {
		return fileStamp{}, err
	}
	return fileStamp{certTime: cert.ModTime(), keyTime: key.ModTime(), certSize: cert.Size(), keySize: key.Size()}, nil
}
