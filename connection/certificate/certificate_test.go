package certificate_test

import (
	"context"
	"crypto/tls"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/corianderhook/corianderhook/common/testcert"
	"github.com/corianderhook/corianderhook/connection/certificate"
)

// party is a process with files of its own.
type party struct {
	*certificate.Certificate
	files  certificate.Files
	serial int64
}

func newParty(t *testing.T, a *testcert.Authority, authority string, clock clockwork.Clock) *party {
	t.Helper()
	is := is.New(t)
	folder := t.TempDir()
	p := &party{files: certificate.Files{
		Certificate: filepath.Join(folder, "process.pem"), Key: filepath.Join(folder, "process.key"), Authority: authority,
	}}
	var err error
	p.serial, err = a.Issue(p.files.Certificate, p.files.Key)
	is.NoErr(err)
	p.Certificate, err = certificate.New(p.files, clock)
	is.NoErr(err)
	return p
}

func newAuthority(t *testing.T) (a *testcert.Authority, file string) {
	t.Helper()
	file = filepath.Join(t.TempDir(), "authority.pem")
	a, err := testcert.New(file)
	is.New(t).NoErr(err)
	return a, file
}

// shake connects two processes; an error of either side counts.
func shake(t *testing.T, server, client *party) error {
	t.Helper()
	near, far := pipe()
	failed := make(chan error, 1)
	go func() {
		conn, _, err := server.ServerCredentials().ServerHandshake(far)
		if err == nil {
			_, err = conn.Write([]byte("x"))
		}
		failed <- err
	}()
	conn, _, err := client.ClientCredentials().ClientHandshake(context.Background(), "127.0.0.1:1", near)
	if err == nil {
		_, err = conn.Read(make([]byte, 1))
	}
	near.Close()
	if serverErr := <-failed; serverErr != nil {
		return serverErr
	}
	return err
}

func pipe() (near, far net.Conn) {
	near, far = net.Pipe()
	deadline := time.Now().Add(time.Minute)
	// A pipe takes every deadline.
	_ = near.SetDeadline(deadline)
	_ = far.SetDeadline(deadline)
	return near, far
}

// served returns the serial number of the certificate that callers see.
func served(t *testing.T, server *party) int64 {
	t.Helper()
	is := is.New(t)
	near, far := pipe()
	defer near.Close()
	go func() {
		// The client's side reports what goes wrong.
		_ = tls.Server(far, server.ListenerConfig()).Handshake()
	}()
	pool, err := certificate.LoadPool(server.files.Authority)
	is.NoErr(err)
	client := tls.Client(near, &tls.Config{RootCAs: pool, ServerName: "127.0.0.1"})
	is.NoErr(client.Handshake())
	return client.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
}

func TestHandshakeRequiresCommonAuthority(t *testing.T) {
	is := is.New(t)
	a, file := newAuthority(t)
	other, otherFile := newAuthority(t)
	clock := clockwork.NewFakeClock()
	server, client := newParty(t, a, file, clock), newParty(t, a, file, clock)
	err := shake(t, server, client)
	is.NoErr(err)
	// One side has a certificate of another authority.
	err = shake(t, server, newParty(t, other, file, clock))
	is.True(err != nil)
	err = shake(t, newParty(t, other, file, clock), client)
	is.True(err != nil)
	// One side trusts another authority.
	err = shake(t, newParty(t, a, otherFile, clock), client)
	is.True(err != nil)
}

func TestChangedCertificateIsReloadedWithoutRestart(t *testing.T) {
	is := is.New(t)
	a, file := newAuthority(t)
	clock := clockwork.NewFakeClock()
	p := newParty(t, a, file, clock)
	is.Equal(served(t, p), p.serial)

	second, err := a.Issue(p.files.Certificate, p.files.Key)
	is.NoErr(err)
	touch(t, p, time.Now().Add(time.Minute))
	clock.Advance(2 * time.Second)
	is.Equal(served(t, p), second)

	// A certificate without its key yet, or a broken one, leaves the former in use.
	is.NoErr(os.WriteFile(p.files.Certificate, []byte("half a file"), 0o600))
	touch(t, p, time.Now().Add(2*time.Minute))
	clock.Advance(2 * time.Second)
	is.Equal(served(t, p), second)
	third, err := a.Issue(p.files.Certificate, p.files.Key)
	is.NoErr(err)
	touch(t, p, time.Now().Add(3*time.Minute))
	clock.Advance(2 * time.Second)
	is.Equal(served(t, p), third)
}

// touch sets the time of the files, since a disk may keep it in coarse steps.
func touch(t *testing.T, p *party, at time.Time) {
	t.Helper()
	is := is.New(t)
	is.NoErr(os.Chtimes(p.files.Certificate, at, at))
	is.NoErr(os.Chtimes(p.files.Key, at, at))
}

func TestInvalidFilesAreRejected(t *testing.T) {
	is := is.New(t)
	a, file := newAuthority(t)
	p := newParty(t, a, file, clockwork.NewFakeClock())
	for _, change := range []func(f *certificate.Files){
		func(f *certificate.Files) { f.Certificate += ".absent" },
		func(f *certificate.Files) { f.Key = f.Certificate },
		func(f *certificate.Files) { f.Authority = f.Key },
	} {
		files := p.files
		change(&files)
		_, err := certificate.New(files, clockwork.NewFakeClock())
		is.True(err != nil)
	}
}
