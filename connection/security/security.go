// Package security gives listeners and connections TLS, or leaves them plain
// where no certificate is configured.
package security

import (
	"crypto/tls"
	"net"

	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/corianderhook/corianderhook/connection/certificate"
)

// Security is how a process secures what it listens to and dials. The zero value
// leaves everything plain.
type Security struct {
	certificate *certificate.Certificate
}

// New returns a security with TLS everywhere, mutual between processes.
func New(c *certificate.Certificate) Security { return Security{certificate: c} }

// Listen secures a listener for callers or operators.
func (s Security) WrapListener(l net.Listener) net.Listener {
	if s.certificate == nil {
		return l
	}
	return tls.NewListener(l, s.certificate.ListenerConfig())
}

// Processes returns the credentials of a listener for other processes.
func (s Security) ServerCredentials() credentials.TransportCredentials {
	if s.certificate == nil {
		return insecure.NewCredentials()
	}
	return s.certificate.ServerCredentials()
}

// Client returns the credentials towards other processes.
func (s Security) ClientCredentials() credentials.TransportCredentials {
	if s.certificate == nil {
		return insecure.NewCredentials()
	}
	return s.certificate.ClientCredentials()
}
