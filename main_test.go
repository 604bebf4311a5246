package main

import (
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/corianderhook/corianderhook/commands"
	"github.com/corianderhook/corianderhook/common/testcert"
	"github.com/corianderhook/corianderhook/connection/certificate"
)

// portCount is the number of free loopback addresses that a script gets as $P0, $P1, ...
const portCount = 24

// firstPort and lastPort bound the ports of scripts. They lie below the kernel's range of
// ephemeral ports: an outgoing connection could otherwise take a port between the search
// for a free one and its use.
const (
	firstPort = 20000
	lastPort  = 32000
)

// nextPort is shared by the scripts, which run in parallel. It starts at the process ID, so
// that concurrent test runs try different ports first.
var nextPort = func() *atomic.Int64 {
	n := &atomic.Int64{}
	n.Store(int64(os.Getpid()))
	return n
}()

// awaitTimeout bounds how long a script waits for an expected response or output.
const awaitTimeout = 120 * time.Second

// pollInterval is the pause between two attempts while a script waits.
const pollInterval = 50 * time.Millisecond

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"corianderhook": func() { os.Exit(commands.Main(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testscripts",
		Setup: setUpPorts,
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"expand":       expand,
			"await":        await,
			"eventually":   eventually,
			"signal":       sendSignal,
			"certificates": certificates,
		},
	})
}

// setUpPorts sets $P0, $P1, ... to free loopback addresses.
func setUpPorts(env *testscript.Env) error {
	found := 0
	for range lastPort - firstPort {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort.Add(1)%(lastPort-firstPort))
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue // another process has the port
		}
		defer l.Close()
		env.Setenv(fmt.Sprintf("P%d", found), address)
		if found++; found == portCount {
			return nil
		}
	}
	return fmt.Errorf("%d free ports are needed, %d were found", portCount, found)
}

// eventually PATTERN COMMAND... runs a command repeatedly until its output matches.
func eventually(ts *testscript.TestScript, _ bool, args []string) {
	pattern, err := regexp.Compile(args[0])
	ts.Check(err)
	for deadline := time.Now().Add(awaitTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if err := ts.Exec(args[1], args[2:]...); err == nil && pattern.MatchString(ts.ReadFile("stdout")) {
			return
		}
	}
	ts.Fatalf("the output of %q never matched %q", args[1:], args[0])
}

// expand FILE... expands environment variables such as $P0 in files.
func expand(ts *testscript.TestScript, _ bool, args []string) {
	for _, file := range args {
		text := os.Expand(ts.ReadFile(file), ts.Getenv)
		ts.Check(os.WriteFile(ts.MkAbs(file), []byte(text), 0o600))
	}
}

// certificates AUTHORITY FOLDER... creates a certificate authority, and writes a
// certificate and key issued by it to process.pem and process.key in each folder.
func certificates(ts *testscript.TestScript, _ bool, args []string) {
	file := ts.MkAbs(args[0])
	a, err := testcert.New(file)
	ts.Check(err)
	for _, folder := range args[1:] {
		folder = ts.MkAbs(folder)
		_, err := a.Issue(filepath.Join(folder, "process.pem"), filepath.Join(folder, "process.key"))
		ts.Check(err)
	}
}

// await URL TEXT waits until a GET returns 200 and a body with the text; with a leading !
// until it no longer does. The certificate behind an https:// address is verified against
// the authority in ca.pem.
func await(ts *testscript.TestScript, neg bool, args []string) {
	text := strings.Join(args[1:], " ")
	last := ""
	client, address := http.Client{Timeout: time.Second}, "http://"+args[0]
	if strings.HasPrefix(args[0], "https://") {
		pool, err := certificate.LoadPool(ts.MkAbs("ca.pem"))
		ts.Check(err)
		client.Transport = &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}}
		address = args[0]
	}
	for deadline := time.Now().Add(awaitTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		body, ok := get(client, address)
		last = body
		if (ok && strings.Contains(body, text)) != neg {
			return
		}
	}
	ts.Fatalf("the response of %s did not become the expected one, last: %s", args[0], last)
}

// get returns the response's body, or the error text, and whether the status is 200.
func get(client http.Client, url string) (string, bool) {
	response, err := client.Get(url)
	if err != nil {
		return err.Error(), false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err == nil && response.StatusCode == http.StatusOK
}

// sendSignal implements signal NAME WORD, which sends a signal to the background command
// that has the word among its arguments.
func sendSignal(ts *testscript.TestScript, _ bool, args []string) {
	signals := map[string]syscall.Signal{
		"TERM": syscall.SIGTERM, "KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT,
	}
	for _, c := range ts.BackgroundCmds() {
		for _, word := range c.Args {
			if word == args[1] {
				ts.Check(c.Process.Signal(signals[args[0]]))
				return
			}
		}
	}
	ts.Fatalf("no background command has the argument %q", args[1])
}
