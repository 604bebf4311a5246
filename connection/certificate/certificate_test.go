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

// process is a process with its own certificate files.
type process struct {
	*certificate.Certificate
	files  certificate.Files
	serial int64
}

func newProcess(t *testing.T, a *testcert.Authority, authorityFile string, clock clockwork.Clock) *process {
	t.Helper()
	is := is.New(t)
	folder := t.TempDir()
	p := &process{files: certificate.Files{
		Certificate: filepath.Join(folder, "process.pem"), Key: filepath.Join(folder, "process.key"), Authority: authorityFile,
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

// handshake connects two processes and returns an error of either side.
func handshake(t *testing.T, server, client *process) error {
	t.Helper()
	clientConn, serverConn := pipe()
	serverErrs := make(chan error, 1)
	go func() {
		conn, _, err := server.ServerCredentials().ServerHandshake(serverConn)
		if err == nil {
			_, err = conn.Write([]byte("x"))
		}
		serverErrs <- err
	}()
	conn, _, err := client.ClientCredentials().ClientHandshake(context.Background(), "127.0.0.1:1", clientConn)
	if err == nil {
		_, err = conn.Read(make([]byte, 1))
	}
	clientConn.Close()
	if serverErr := <-serverErrs; serverErr != nil {
		return serverErr
	}
	return err
}

func pipe() (clientConn, serverConn net.Conn) {
	clientConn, serverConn = net.Pipe()
	deadline := time.Now().Add(time.Minute)
	// SetDeadline on an open pipe never fails.
	_ = clientConn.SetDeadline(deadline)
	_ = serverConn.SetDeadline(deadline)
	return clientConn, serverConn
}

// callerSerial returns the serial number of the certificate presented to callers.
func callerSerial(t *testing.T, server *process) int64 {
	t.Helper()
	is := is.New(t)
	clientConn, serverConn := pipe()
	defer clientConn.Close()
	go func() {
		// The client reports handshake errors.
		_ = tls.Server(serverConn, server.ListenerConfig()).Handshake()
	}()
	pool, err := certificate.LoadPool(server.files.Authority)
	is.NoErr(err)
	client := tls.Client(clientConn, &tls.Config{RootCAs: pool, ServerName: "127.0.0.1"})
	is.NoErr(client.Handshake())
	return client.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
}

func TestHandshakeRequiresCommonAuthority(t *testing.T) {
	is := is.New(t)
	a, file := newAuthority(t)
	other, otherFile := newAuthority(t)
	clock := clockwork.NewFakeClock()
	server, client := newProcess(t, a, file, clock), newProcess(t, a, file, clock)
	err := handshake(t, server, client)
	is.NoErr(err)
	// One side has a certificate signed by another authority.
	err = handshake(t, server, newProcess(t, other, file, clock))
	is.True(err != nil)
	err = handshake(t, newProcess(t, other, file, clock), client)
	is.True(err != nil)
	// One side trusts another authority.
	err = handshake(t, newProcess(t, a, otherFile, clock), client)
	is.True(err != nil)
}

func TestChangedCertificateIsReloadedWithoutRestart(t *testing.T) {
	is := is.New(t)
	a, file := newAuthority(t)
	clock := clockwork.NewFakeClock()
	p := newProcess(t, a, file, clock)
	is.Equal(callerSerial(t, p), p.serial)

	second, err := a.Issue(p.files.Certificate, p.files.Key)
	is.NoErr(err)
	setModTime(t, p, time.Now().Add(time.Minute))
	clock.Advance(2 * time.Second)
	is.Equal(callerSerial(t, p), second)

	// While the certificate file is invalid or its key is not written yet, the previous
	// certificate stays in use.
	is.NoErr(os.WriteFile(p.files.Certificate, []byte("half a file"), 0o600))
	setModTime(t, p, time.Now().Add(2*time.Minute))
	clock.Advance(2 * time.Second)
	is.Equal(callerSerial(t, p), second)
	third, err := a.Issue(p.files.Certificate, p.files.Key)
	is.NoErr(err)
	setModTime(t, p, time.Now().Add(3*time.Minute))
	clock.Advance(2 * time.Second)
	is.Equal(callerSerial(t, p), third)
}

// setModTime sets the modification time of the files, since a file system may store it
// too coarsely to show the change.
func setModTime(t *testing.T, p *process, at time.Time) {
	t.Helper()
	is := is.New(t)
	is.NoErr(os.Chtimes(p.files.Certificate, at, at))
	is.NoErr(os.Chtimes(p.files.Key, at, at))
}

func TestInvalidFilesAreRejected(t *testing.T) {
	is := is.New(t)
	a, file := newAuthority(t)
	p := newProcess(t, a, file, clockwork.NewFakeClock())
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
