package commands

import (
	"crypto/rand"
	"crypto/tls"
	"encoding/base64"
	"fmt"
	"net/http"
	"os"
	"strings"

	"github.com/pkg/errors"

	"github.com/corianderhook/corianderhook/connection/certificate"
	"github.com/corianderhook/corianderhook/version/access"
)

// tokenBytes is the number of random bytes in a token.
const tokenBytes = 32

// TokenCommand creates a token.
type TokenCommand struct {
	File string `arg:"" help:"File for the new token; it must not exist, and is created readable by its owner only."`
}

// Run writes the token to the file and prints its digest for the settings.
func (c *TokenCommand) Run(s *Streams) error {
	raw := make([]byte, tokenBytes)
	if _, err := rand.Read(raw); err != nil {
		return errors.Wrap(err, "new token")
	}
	token := base64.RawURLEncoding.EncodeToString(raw)
	file, err := os.OpenFile(c.File, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return usageError{errors.Wrap(err, "token file")}
	}
	if _, err := fmt.Fprintln(file, token); err != nil {
		file.Close()
		return errors.Wrapf(err, "token file %q", c.File)
	}
	if err := file.Close(); err != nil {
		return errors.Wrapf(err, "token file %q", c.File)
	}
	fmt.Fprintf(s.Out, "token_sha256 = %s\n", access.DigestOf(token))
	return nil
}

// Credentials holds the flags for TLS and for the bearer token.
type Credentials struct {
	CA        string `placeholder:"FILE" env:"CORIANDERHOOK_CA" help:"PEM file with the certificate authority of the processes; enables TLS."`
	TokenFile string `placeholder:"FILE" env:"CORIANDERHOOK_TOKEN_FILE" help:"File with the bearer token of the team or operator."`
}

// httpClient returns the URL prefix and the client for requests to a process.
func (c *Credentials) httpClient() (scheme string, client *http.Client, err error) {
	if c.CA == "" {
		return "http://", http.DefaultClient, nil
	}
	pool, err := certificate.LoadPool(c.CA)
	if err != nil {
		return "", nil, usageError{errors.Wrap(err, "--ca")}
	}
	settings := &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: pool}
	return "https://", &http.Client{Transport: &http.Transport{TLSClientConfig: settings}}, nil
}

// addToken adds the bearer token, if there is one, to a request.
func (c *Credentials) addToken(r *http.Request) error {
	if c.TokenFile == "" {
		return nil
	}
	raw, err := os.ReadFile(c.TokenFile)
	if err != nil {
		return usageError{errors.Wrap(err, "--token-file")}
	}
	token := strings.TrimSpace(string(raw))
	if token == "" || strings.ContainsAny(token, " \r\n") {
		return usageError{errors.Errorf("--token-file %q does not hold one token", c.TokenFile)}
	}
	r.Header.Set("Authorization", "Bearer "+token)
	return nil
}
