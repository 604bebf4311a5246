package commands

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderhook/corianderhook/lab/logstore"
	"github.com/corianderhook/corianderhook/lab/sample"
)

// standInServerTimeout bounds how long a client may take to send its headers, and how long
// the server waits for open requests when it stops.
const standInServerTimeout = 5 * time.Second

// LogCommand runs the stand-in for the platform's log.
type LogCommand struct {
	Listen    string `default:"127.0.0.1:7300" placeholder:"IP:PORT" help:"Address to serve on."`
	Retention int    `default:"100000" help:"Number of records that each stream retains."`
	Seed      uint64 `default:"1" help:"Seed of the random choice of answers to lose."`
}

// Run serves the log until a signal stops it.
func (c *LogCommand) Run(s *Streams) error {
	if c.Retention < 1 {
		return usageError{errors.Errorf("--retention is %d; it must be at least 1 record", c.Retention)}
	}
	store := logstore.New(realClock(), logstore.WithRetention(c.Retention), logstore.WithSeed(c.Seed))
	return serveUntilSignal(s, "log", c.Listen, store.Handler())
}

// SampleCommand runs a sample endpoint.
type SampleCommand struct {
	Listen string `default:"127.0.0.1:7500" placeholder:"IP:PORT" help:"Address to serve on."`
}

// Run serves the endpoint until a signal stops it. GET /starts returns the number of
// starts and of tasks that were started more than once.
func (c *SampleCommand) Run(s *Streams) error {
	starts := sample.NewStarts()
	mux := http.NewServeMux()
	mux.Handle("POST /run", sample.New(realClock(), starts))
	mux.HandleFunc("GET /starts", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, "starts=%d twice=%d\n", starts.Total(), starts.StartedTwice())
	})
	return serveUntilSignal(s, "sample endpoint", c.Listen, mux)
}

func serveUntilSignal(s *Streams, name, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return usageError{errors.Wrap(err, "--listen")}
	}
	graceful, immediate, stop := shutdownContexts()
	defer stop()
	server := &http.Server{Handler: handler, ReadHeaderTimeout: standInServerTimeout}
	fmt.Fprintf(s.Out, "%s listens on %s\n", name, listener.Addr())
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	select {
	case err := <-failed:
		return errors.Wrap(err, name)
	case <-graceful.Done():
	}
	ctx, cancel := context.WithTimeout(immediate, standInServerTimeout)
	defer cancel()
	return errors.Wrap(server.Shutdown(ctx), name)
}
