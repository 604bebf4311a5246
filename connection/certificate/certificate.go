// Package certificate holds the TLS certificate of a process and reloads it when its files
// change, so that a new certificate needs no restart.
package certificate

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"google.golang.org/grpc/credentials"
	"k8s.io/klog/v2"
)

// checkInterval is the least time between two checks for changed files. A check takes two
// system calls.
const checkInterval = time.Second

// Files holds the paths of the PEM files.
type Files struct {
	Certificate string
	Key         string
	// Authority holds the certificates of the authority that signs for all processes. There
	// may be several while one replaces another.
	Authority string
}

// Certificate holds a certificate with its key, and the authority that verifies the
// certificates of other processes. It is safe for concurrent use.
type Certificate struct {
	files     Files
	clock     clockwork.Clock
	authority *x509.CertPool

	mu        sync.Mutex
	current   *tls.Certificate
	fileState string
	lastCheck time.Time
}

// New reads the files. The authority is read once. The certificate and its key are
// reloaded when they change.
func New(files Files, clock clockwork.Clock) (*Certificate, error) {
	pool, err := LoadPool(files.Authority)
	if err != nil {
		return nil, err
	}
	c := &Certificate{files: files, clock: clock, authority: pool}
	c.fileState, err = c.readFileState()
	if err != nil {
		return nil, errors.Wrap(err, "TLS certificate")
	}
	c.lastCheck = clock.Now()
	c.current, err = load(files)
	return c, err
}

// LoadPool returns a pool of the certificates in a PEM file.
func LoadPool(file string) (*x509.CertPool, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "TLS authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(raw) {
		return nil, fmt.Errorf("TLS authority: file %q contains no PEM certificate", file)
	}
	return pool, nil
}

func load(files Files) (*tls.Certificate, error) {
	pair, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return nil, errors.Wrapf(err, "TLS certificate %q with key %q", files.Certificate, files.Key)
	}
	klog.InfoS("CH0701 certificate in use", "file", files.Certificate, "serial", pair.Leaf.SerialNumber.String(), "expires", pair.Leaf.NotAfter.UTC())
	return &pair, nil
}

// readFileState returns the modification times and sizes of the certificate and key files,
// to detect changes.
func (c *Certificate) readFileState() (string, error) {
	fileState := ""
	for _, file := range []string{c.files.Certificate, c.files.Key} {
		info, err := os.Stat(file)
		if err != nil {
			return "", err
		}
		fileState += fmt.Sprintf("%d %d;", info.ModTime().UnixNano(), info.Size())
	}
	return fileState, nil
}

// reloadIfChanged returns the certificate, reloaded if its files have changed. If the new
// files are unreadable or do not match, the previous certificate stays in use.
func (c *Certificate) reloadIfChanged() *tls.Certificate {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.clock.Since(c.lastCheck) < checkInterval {
		return c.current
	}
	c.lastCheck = c.clock.Now()
	fileState, err := c.readFileState()
	if err == nil && fileState == c.fileState {
		return c.current
	}
	var next *tls.Certificate
	if err == nil {
		next, err = load(c.files)
	}
	if err != nil {
		klog.ErrorS(err, "CH0702 changed certificate cannot be used", "file", c.files.Certificate)
		return c.current
	}
	c.current, c.fileState = next, fileState
	return next
}

// ListenerConfig returns the TLS configuration of a listener for callers or operators, who
// authenticate by tokens instead of client certificates.
func (c *Certificate) ListenerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return c.reloadIfChanged(), nil },
	}
}

// ServerCredentials returns the credentials of a server that accepts only processes of the
// system, by mutual TLS.
func (c *Certificate) ServerCredentials() credentials.TransportCredentials {
	config := c.ListenerConfig()
	config.MinVersion = tls.VersionTLS13
	config.ClientAuth = tls.RequireAndVerifyClientCert
	config.ClientCAs = c.authority
	return credentials.NewTLS(config)
}

// ClientCredentials returns the credentials for connections to other processes of the
// system. Their certificates must be valid for the IP address that is dialled.
func (c *Certificate) ClientCredentials() credentials.TransportCredentials {
	return credentials.NewTLS(&tls.Config{
		MinVersion:           tls.VersionTLS13,
		RootCAs:              c.authority,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return c.reloadIfChanged(), nil },
	})
}
