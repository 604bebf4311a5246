package doorway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/corianderhook/corianderhook/connection/intake"
)

// largeAnswerBytes is more than the kernel holds of an answer.
const largeAnswerBytes = 16 << 20

// counter counts what was turned away.
type counter struct{ all atomic.Int64 }

func (c *counter) CountTurnedAway(string, string) { c.all.Add(1) }

// startServer starts a server that reads bodies of up to 1 KiB, and returns its address.
func startServer(t *testing.T, l intake.Limits, counts *counter, options ...Option) string {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	door := New("test", l, clockwork.NewRealClock(), counts, options...)
	ctx, cancel := context.WithCancel(context.Background())
	go door.Run(ctx)
	server := &http.Server{ConnContext: ConnContext, Handler: door.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/unread":
			return
		case "/large":
			_, _ = w.Write(make([]byte, largeAnswerBytes))
			return
		}
		text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 1024))
		switch refusal := RefusalOf(err); {
		case refusal != nil:
			w.WriteHeader(refusal.Status(w.Header()))
		case err != nil:
			w.WriteHeader(http.StatusBadRequest)
		default:
			if refusal := RefusalOf(Keep(r, int64(len(text)))); refusal != nil {
				w.WriteHeader(refusal.Status(w.Header()))
				return
			}
			fmt.Fprint(w, len(text))
		}
	}))}
	// Serve ends with an error when the server is closed.
	go func() { _ = server.Serve(door.Guard(socket)) }()
	t.Cleanup(func() {
		cancel()
		server.Close()
	})
	return socket.Addr().String()
}

// open sends the beginning of a request.
func open(t *testing.T, address, text string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	return c
}

// answer reads an answer and returns its status and headers.
func answer(t *testing.T, c net.Conn) (int, http.Header) {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		t.Fatal(err)
	}
	if response.Close {
		response.Header.Set("Connection", "close")
	}
	return response.StatusCode, response.Header
}

func status(t *testing.T, c net.Conn) int {
	t.Helper()
	code, _ := answer(t, c)
	return code
}

const post = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\n"

// The first of two bodies that do not fit is refused, the second one is served.
func TestBodyGivesWay(t *testing.T) {
	i := is.New(t)
	var counts counter
	address := startServer(t, intake.NewLimits(10, 3000, time.Minute, time.Minute), &counts)
	first := open(t, address, post+strings.Repeat("x", 900))
	// The first one has to have been counted.
	time.Sleep(200 * time.Millisecond)
	second := open(t, address, post+strings.Repeat("x", 1000))
	code, header := answer(t, first)
	i.Equal(code, http.StatusServiceUnavailable)
	i.Equal(header.Get("Retry-After"), "1")
	i.Equal(header.Get("Connection"), "close")
	i.Equal(status(t, second), http.StatusOK)
	i.Equal(counts.all.Load(), int64(1))
}

// Of two headers of many lines that do not fit, the first one ends, and the second one is served.
func TestHeaderGivesWay(t *testing.T) {
	i := is.New(t)
	var counts counter
	address := startServer(t, intake.NewLimits(10, 3000, time.Minute, time.Minute), &counts)
	var header strings.Builder
	for n := range 16 {
		fmt.Fprintf(&header, "x%d:\r\n", n)
	}
	const line = "GET /unread HTTP/1.1\r\nHost: x\r\n"
	first := open(t, address, line+header.String())
	// The first one has to have been counted.
	time.Sleep(200 * time.Millisecond)
	second := open(t, address, line+header.String())
	_, err := first.Read(make([]byte, 1))
	i.True(err != nil)
	_, err = io.WriteString(second, "\r\n")
	i.NoErr(err)
	i.Equal(status(t, second), http.StatusOK)
	i.Equal(counts.all.Load(), int64(1))
	// What it held is given back: another one has room.
	i.Equal(status(t, open(t, address, line+header.String()+"\r\n")), http.StatusOK)
	i.Equal(counts.all.Load(), int64(1))
}

func TestStalledBodyIsRefusedAndASteadyOneServed(t *testing.T) {
	i := is.New(t)
	address := startServer(t, intake.NewLimits(10, 1<<20, time.Second, time.Minute), &counter{})
	stalled, steady := open(t, address, post+"x"), open(t, address, post)
	for range 10 {
		_, err := io.WriteString(steady, strings.Repeat("x", 100))
		i.NoErr(err)
		time.Sleep(300 * time.Millisecond)
	}
	i.Equal(status(t, steady), http.StatusOK)
	i.Equal(status(t, stalled), http.StatusRequestTimeout)
}

// A body that its handler does not read, and that does not come, ends its connection.
func TestUnreadBodyHasToCome(t *testing.T) {
	i := is.New(t)
	address := startServer(t, intake.NewLimits(10, 1<<20, time.Second, time.Minute), &counter{})
	c := open(t, address, strings.Replace(post, "POST /", "POST /unread", 1)+"x")
	i.NoErr(c.SetReadDeadline(time.Now().Add(30 * time.Second)))
	_, err := io.Copy(io.Discard, c)
	var timeout net.Error
	i.True(!errors.As(err, &timeout) || !timeout.Timeout())
}

const getLarge = "GET /large HTTP/1.1\r\nHost: x\r\n\r\n"

// A client that does not read its answer makes room for another, and is ended after a time if there is
// none. One that reads slowly gets all of it.
func TestUnreadAnswer(t *testing.T) {
	i := is.New(t)
	var counts counter
	address := startServer(t, intake.NewLimits(1, 1<<20, time.Minute, time.Minute), &counts)
	open(t, address, getLarge)
	time.Sleep(300 * time.Millisecond)
	i.Equal(status(t, open(t, address, "GET /unread HTTP/1.1\r\nHost: x\r\n\r\n")), http.StatusOK)
	i.Equal(counts.all.Load(), int64(1))

	address = startServer(t, intake.NewLimits(10, 1<<20, time.Second, time.Minute), &counts)
	stuck, slow := open(t, address, getLarge), open(t, address, getLarge)
	response, err := http.ReadResponse(bufio.NewReaderSize(slow, 64<<10), nil)
	i.NoErr(err)
	defer response.Body.Close()
	read := int64(0)
	for err == nil {
		var n int64
		n, err = io.CopyN(io.Discard, response.Body, 128<<10)
		read += n
		time.Sleep(20 * time.Millisecond)
	}
	i.Equal(err, io.EOF)
	i.Equal(read, int64(largeAnswerBytes))
	read, err = io.Copy(io.Discard, stuck)
	i.NoErr(err)
	i.True(read < largeAnswerBytes)
}

// A connection serves several requests, and an idle one makes room for another.
func TestIdleConnectionMakesRoom(t *testing.T) {
	i := is.New(t)
	var counts counter
	address := startServer(t, intake.NewLimits(1, 1<<20, time.Minute, time.Minute), &counts)
	kept := open(t, address, "")
	for range 3 {
		_, err := io.WriteString(kept, post+strings.Repeat("x", 1000))
		i.NoErr(err)
		i.Equal(status(t, kept), http.StatusOK)
	}
	i.Equal(counts.all.Load(), int64(0))
	i.Equal(status(t, open(t, address, post+strings.Repeat("x", 1000))), http.StatusOK)
	_, err := kept.Read(make([]byte, 1))
	i.True(err != nil)
}

func TestDoorwayWithoutBodies(t *testing.T) {
	i := is.New(t)
	address := startServer(t, intake.NewLimits(10, 1<<20, time.Minute, time.Minute), &counter{}, WithoutBodies())
	i.Equal(status(t, open(t, address, post)), http.StatusRequestEntityTooLarge)
	i.Equal(status(t, open(t, address, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")), http.StatusOK)
}
