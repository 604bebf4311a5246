// Package certificate keeps a process's TLS certificate and reads it again when
// its files change, so that a new certificate needs no restart.
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

// lookEvery is the pause between looks at the files. A look takes two system calls.
const lookEvery = time.Second

// Files are paths of PEM files.
type Files struct {
	Certificate string
	Key         string
	// Authority signs the certificates of all processes; it may hold several
	// certificates while one takes the place of another.
	Authority string
}

// Certificate is a certificate with its key, and the authority that the other
// processes are checked against. It is safe for concurrent use.
type Certificate struct {
	files     Files
	clock     clockwork.Clock
	authority *x509.CertPool

	mu      sync.Mutex
	current *tls.Certificate
	stamp   string
	looked  time.Time
}

// New reads the files. The authority is read once, the certificate and its key
// again whenever they change.
func New(files Files, clock clockwork.Clock) (*Certificate, error) {
	pool, err := LoadPool(files.Authority)
	if err != nil {
		return nil, err
	}
	c := &Certificate{files: files, clock: clock, authority: pool}
	c.stamp, err = c.stampOf()
	if err != nil {
		return nil, errors.Wrap(err, "TLS certificate")
	}
	c.looked = clock.Now()
	c.current, err = load(files)
	return c, err
}

// Pool reads the certificates of a PEM file.
func LoadPool(file string) (*x509.CertPool, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "TLS authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(raw) {
		return nil, fmt.Errorf("TLS authority: file %q has no certificate in PEM form", file)
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

// stampOf changes when a file is replaced or written.
func (c *Certificate) stampOf() (string, error) {
	stamp := ""
	for _, file := range []string{c.files.Certificate, c.files.Key} {
		info, err := os.Stat(file)
		if err != nil {
			return "", err
		}
		stamp += fmt.Sprintf("%d %d;", info.ModTime().UnixNano(), info.Size())
	}
	return stamp, nil
}

// get returns the certificate, read again where its files have changed. While
// the new files do not fit together the former certificate stays in use.
func (c *Certificate) get() *tls.Certificate {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.clock.Since(c.looked) < lookEvery {
		return c.current
	}
	c.looked = c.clock.Now()
	stamp, err := c.stampOf()
	if err == nil && stamp == c.stamp {
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
	c.current, c.stamp = next, stamp
	return next
}

// Server returns the settings of a listener for callers or operators, who prove
// themselves by tokens.
func (c *Certificate) ListenerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return c.get(), nil },
	}
}

// Processes returns the credentials of a listener that takes processes of the
// system only.
func (c *Certificate) ServerCredentials() credentials.TransportCredentials {
	settings := c.ListenerConfig()
	settings.MinVersion = tls.VersionTLS13
	settings.ClientAuth = tls.RequireAndVerifyClientCert
	settings.ClientCAs = c.authority
	return credentials.NewTLS(settings)
}

// Client returns the credentials towards other processes of the system. Their
// certificates have to name the IP number that is dialled.
func (c *Certificate) ClientCredentials() credentials.TransportCredentials {
	return credentials.NewTLS(&tls.Config{
		MinVersion:           tls.VersionTLS13,
		RootCAs:              c.authority,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return c.get(), nil },
	})
}
