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

// serverHeaderTime bounds how long a client may take to send its headers.
const serverHeaderTime = 5 * time.Second

// LogCommand runs the stand-in log.
type LogCommand struct {
	Listen    string `default:"127.0.0.1:7300" placeholder:"IP:PORT" help:"Address to serve on."`
	Retention int    `default:"100000" help:"Records that each stream keeps."`
	Seed      uint64 `default:"1" help:"Seed that decides which answers are lost."`
}

// Run serves until a signal ends it.
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

// Run serves until a signal ends it. GET /starts shows the record of starts.
func (c *SampleCommand) Run(s *Streams) error {
	starts := sample.NewStarts()
	mux := http.NewServeMux()
	mux.Handle("POST /run", sample.New(realClock(), starts))
	mux.HandleFunc("GET /starts", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, "starts=%d twice=%d\n", starts.Total(), starts.StartedTwice())
	})
	return serveUntilSignal(s, "sample endpoint", c.Listen, mux)
}

func serveUntilSignal(s *Streams, what, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return usageError{errors.Wrap(err, "--listen")}
	}
	first, second, stop := signals()
	defer stop()
	server := &http.Server{Handler: handler, ReadHeaderTimeout: serverHeaderTime}
	fmt.Fprintf(s.Out, "%s listens on %s\n", what, listener.Addr())
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	select {
	case err := <-failed:
		return errors.Wrap(err, what)
	case <-first.Done():
	}
	ctx, cancel := context.WithTimeout(second, serverHeaderTime)
	defer cancel()
	return errors.Wrap(server.Shutdown(ctx), what)
}
