// Package security secures listeners and connections by TLS, or leaves them in plain text
// if no certificate is configured.
package security

import (
	"crypto/tls"
	"net"

	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/corianderhook/corianderhook/connection/certificate"
)

// Security secures the listeners and outgoing connections of a process. The zero value
// leaves all of them in plain text.
type Security struct {
	certificate *certificate.Certificate
}

// New returns a Security that uses TLS everywhere, and mutual TLS between processes.
func New(c *certificate.Certificate) Security { return Security{certificate: c} }

// Encrypted reports whether connections are secured by TLS.
func (s Security) Encrypted() bool { return s.certificate != nil }

// WrapListener adds TLS to a listener for callers or operators.
func (s Security) WrapListener(l net.Listener) net.Listener {
	if s.certificate == nil {
		return l
	}
	return tls.NewListener(l, s.certificate.ListenerConfig())
}

// ServerCredentials returns the credentials of a server for other processes.
func (s Security) ServerCredentials() credentials.TransportCredentials {
	if s.certificate == nil {
		return insecure.NewCredentials()
	}
	return s.certificate.ServerCredentials()
}

// ClientCredentials returns the credentials for connections to other processes.
func (s Security) ClientCredentials() credentials.TransportCredentials {
	if s.certificate == nil {
		return insecure.NewCredentials()
	}
	return s.certificate.ClientCredentials()
}
