package administrator

import (
	"crypto/tls"
	"os"
	"sync"
	"time"

	"go.uber.org/zap"
)

// reloadInterval is the minimum time between two checks for a changed certificate.
const reloadInterval = time.Second

// Certificate is a certificate that is reloaded when its files change.
type Certificate struct {
	certFile string
	keyFile  string
	logger   *zap.Logger

	mu        sync.Mutex
	current   *tls.Certificate
	stamp     fileStamp
	nextCheck time.Time
}

// fileStamp holds the times and sizes by which a change of the two files is detected.
type fileStamp struct {
	certTime, keyTime time.Time
	certSize, keySize int64
}

// NewCertificate loads a certificate and key in PEM form; it fails if they don't match.
func NewCertificate(certFile, keyFile string, l *zap.Logger) (*Certificate, error) {
	c := &Certificate{certFile: certFile, keyFile: keyFile, logger: l}
	stamp, err := c.statFiles()
	if err != nil {
		return nil, err
	}
	pair, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, err
	}
	c.current = &pair
	c.stamp = stamp
	c.nextCheck = time.Now().Add(reloadInterval)
	return c, nil
}

// Config returns a server configuration that uses the certificate.
func (c *Certificate) Config() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: c.getCertificate}
}

func (c *Certificate) getCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now(); now.After(c.nextCheck) {
		c.nextCheck = now.Add(reloadInterval)
		c.reload()
	}
	return c.current, nil
}

// reload keeps the old certificate if the new files can't be loaded, since they
// may be partly written; the next check tries again.
func (c *Certificate) reload() {
	stamp, err := c.statFiles()
	if err != nil {
		c.logger.Error("certificate files not readable, the last certificate stays in use", zap.NamedError("Error", err))
		return
	}
	if stamp == c.stamp {
		return
	}
	pair, err := tls.LoadX509KeyPair(c.certFile, c.keyFile)
	if err != nil {
		c.logger.Error("certificate not loaded, the last certificate stays in use", zap.NamedError("Error", err))
		return
	}
	c.current = &pair
	c.stamp = stamp
	c.logger.Info("certificate reloaded", zap.String("File", c.certFile))
}

func (c *Certificate) statFiles() (fileStamp, error) {
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
