package hostile

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/corianderhook/corianderhook/lab/logstore"
	"github.com/corianderhook/corianderhook/platform/standin/caller"
	"github.com/corianderhook/corianderhook/platform/standin/endpoint"
	"github.com/corianderhook/corianderhook/platform/standin/operator"
	"github.com/corianderhook/corianderhook/platform/standin/store"
)

const (
	startTimeout = 60 * time.Second
	pollInterval = 50 * time.Millisecond
	// An ordinary request is sent up to maxSends times, as refusals are allowed, and has
	// answerTimeout for each answer.
	maxSends      = 5
	answerTimeout = 20 * time.Second
)

// system is a running system of two processes.
type system struct {
	processes []*process
	// addresses of the listeners by name.
	addresses map[string]string
	fds       int
	// job sends an ordinary job and returns the status of the answer.
	job func() (int, error)
}

func write(t *testing.T, path, text string) string {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func serve(t *testing.T, address string, h http.Handler) {
	t.Helper()
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: answerTimeout}
	// Serve ends with an error when the server is closed.
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { server.Close() })
}

// startPlatform starts a dispatcher and a sidecar.
func startPlatform(t *testing.T, fds int) *system {
	t.Helper()
	return startPlatformOn(t, fds, memoryMiB, memoryMiB)
}

// startPlatformOn starts a dispatcher and a sidecar on VMs with the given memory in MiB.
func startPlatformOn(t *testing.T, fds, dispatcherMiB, sidecarMiB int) *system {
	t.Helper()
	a, dir, clock := freeAddresses(t, 8), t.TempDir(), clockwork.NewRealClock()
	s := &system{fds: fds, addresses: map[string]string{
		"callers": a[0], "readiness": a[1], "processes": a[2], "metrics": a[3], "announcements": a[4], "metrics of the sidecar": a[5],
	}}
	records := store.New(clock)
	serve(t, a[6], records.Handler())
	operator.New(records).Publish(1)
	server := endpoint.New("i-1", endpoint.NewRecord(), clock)
	serve(t, a[7], server.Handler())
	common := fmt.Sprintf("zone = z1\n[store]\naddress = %s\n[runtime]\n", a[6])
	d := write(t, filepath.Join(dir, "d.ini"), fmt.Sprintf("[process]\nname = d1\n%smemory = %d\nmetrics = %s\n[dispatcher]\ncallers = %s\nready = %s\nlisten = %s\npeers = %s\n", common, dispatcherMiB, a[3], a[0], a[1], a[2], a[2]))
	c := write(t, filepath.Join(dir, "s.ini"), fmt.Sprintf("[process]\nname = s1\n%smemory = %d\nmetrics = %s\n[sidecar]\nendpoint = %s\nannouncements = %s\ndispatchers = %s\n", common, sidecarMiB, a[5], a[7], a[4], a[2]))
	s.processes = []*process{start(t, "dispatcher", fds, "dispatcher", "--settings", d), start(t, "sidecar", fds, "sidecar", "--settings", c)}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go server.Announce(ctx, a[4], operator.Service, "z1")
	sent := 0
	s.job = func() (int, error) {
		sent++
		client := caller.New(a[0], clock)
		defer client.Close()
		first := client.Submit(context.Background(), caller.Job{
			ID: fmt.Sprintf("%016x", sent), Tasks: 1, RunTime: 20 * time.Millisecond, CPU: 100, Budget: answerTimeout, NewConnection: true,
		})[0]
		if first.Status == 0 {
			return 0, errors.New(first.Error)
		}
		return first.Status, nil
	}
	s.processes[0].memoryMiB, s.processes[1].memoryMiB = dispatcherMiB, sidecarMiB
	s.processes[0].listensAt(a[0], a[1], a[2], a[3])
	s.processes[1].listensAt(a[4], a[5])
	s.await(t)
	return s
}

// startProduct starts an entry and an agent.
func startProduct(t *testing.T, fds int) *system {
	t.Helper()
	a, dir := freeAddresses(t, 6), t.TempDir()
	s := &system{fds: fds, addresses: map[string]string{"processes": a[0], "callers": a[1], "administration": a[2], "administration of the agent": a[3]}}
	serve(t, a[4], logstore.New(clockwork.NewRealClock()).Handler())
	serve(t, a[5], http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "{}") }))
	common := fmt.Sprintf("zone = z1\n[runtime]\nmemory = %d\n[team anyone]\n[kind check]\n[log]\naddress = %s\n", memoryMiB, a[4])
	write(t, filepath.Join(dir, "e", "10.ini"), fmt.Sprintf("[process]\nname = e1\n%s[entry]\nlisten = %s\ncallers = %s\nadmin = %s\n", common, a[0], a[1], a[2]))
	write(t, filepath.Join(dir, "a", "10.ini"), fmt.Sprintf("[process]\nname = a1\n%s[agent]\nendpoint = http://%s/run\nentries = %s\nadmin = %s\n", common, a[5], a[0], a[3]))
	s.processes = []*process{start(t, "entry", fds, "entry", "--config", filepath.Join(dir, "e")), start(t, "agent", fds, "agent", "--config", filepath.Join(dir, "a"))}
	sent := 0
	s.job = func() (int, error) {
		sent++
		return send(http.MethodPost, "http://"+a[1]+"/v1/jobs", `{"kind":"check","tasks":[{"payload":1}]}`,
			http.Header{"Corianderhook-Team": {"anyone"}, "Idempotency-Key": {fmt.Sprint(sent)}})
	}
	s.processes[0].listensAt(a[0], a[1], a[2])
	s.processes[1].listensAt(a[3])
	s.await(t)
	return s
}

// await waits until a job is completed.
func (s *system) await(t *testing.T) {
	t.Helper()
	var status int
	var err error
	for began := time.Now(); time.Since(began) < startTimeout; time.Sleep(pollInterval) {
		if status, err = s.job(); status == http.StatusOK {
			return
		}
	}
	t.Fatalf("no job is completed: status %d, %v", status, err)
}

// send sends a request on a connection of its own.
func send(method, url, body string, header http.Header) (int, error) {
	transport := &http.Transport{DisableKeepAlives: true}
	client := http.Client{Transport: transport, Timeout: answerTimeout}
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	r.Header = header
	r.Host = operator.Host
	response, err := client.Do(r)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// checkAnswered fails the test unless an ordinary request is served. It may be refused before.
func checkAnswered(t *testing.T, what string, request func() (int, error)) {
	t.Helper()
	for range maxSends {
		status, err := request()
		switch {
		case err != nil:
			t.Errorf("%s had no answer: %v", what, err)
			return
		case status == http.StatusOK:
			return
		case status != http.StatusTooManyRequests && status != http.StatusServiceUnavailable:
			t.Errorf("%s had status %d", what, status)
			return
		}
		time.Sleep(time.Second)
	}
	t.Errorf("%s was refused %d times", what, maxSends)
}

// probe is an ordinary request to a listener that is not for jobs.
type probe struct{ method, path string }

// play attacks a listener, and checks the processes and that ordinary requests are answered
// while the connections of the crowd are open.
func (s *system) play(t *testing.T, listener string, c client, p probe) {
	t.Helper()
	attack(t, s.addresses[listener], crowdSize, c)
	s.checkAfterwards(t, listener, p)
}

// checkAfterwards checks the processes and that ordinary requests are answered.
func (s *system) checkAfterwards(t *testing.T, listener string, p probe) {
	t.Helper()
	s.settle(t)
	for _, of := range s.processes {
		of.check(t, s.fds)
	}
	checkAnswered(t, "a job", s.job)
	if p.path != "" {
		checkAnswered(t, "a request to "+listener, func() (int, error) { return send(p.method, "http://"+s.addresses[listener]+p.path, "", http.Header{}) })
	}
	for _, of := range s.processes {
		of.check(t, s.fds)
	}
}

// settle waits until the processes accept no further connections.
func (s *system) settle(t *testing.T) {
	t.Helper()
	for n, last := 0, -1; n < 10; n++ {
		now := 0
		for _, p := range s.processes {
			now += p.openDescriptors(t)
		}
		if now == last {
			return
		}
		last = now
		time.Sleep(time.Second)
	}
}

// listeners of a system, with what is sent to them.
type listeners map[string]struct {
	target target
	probe  probe
}

func playBodies(t *testing.T, startSystem func(*testing.T, int) *system, all listeners) {
	t.Helper()
	for name, l := range all {
		t.Run(name, func(t *testing.T) {
			startSystem(t, descriptors).playAll(t, name, bodyClients(l.target), l.probe)
			startSystem(t, fewDescriptors).playAll(t, name, connectionClients(l.target), l.probe)
		})
	}
}

// playAll has each kind of clients attack one after the other. The peak of memory is that of all
// kinds so far.
func (s *system) playAll(t *testing.T, listener string, kinds map[string]client, p probe) {
	t.Helper()
	for kind, c := range kinds {
		t.Run(kind, func(t *testing.T) { s.play(t, listener, c, p) })
	}
}

func playMessages(t *testing.T, startSystem func(*testing.T, int) *system, method string) {
	t.Helper()
	startSystem(t, descriptors).playAll(t, "processes", messageClients(method), probe{})
	startSystem(t, fewDescriptors).playAll(t, "processes", map[string]client{"more connections than descriptors": func(func([]byte) bool) {}}, probe{})
}

func TestPlatformOutlivesHostileClients(t *testing.T) {
	const announcement = "/instances/i-9"
	metrics := probe{http.MethodGet, "/metrics"}
	playBodies(t, startPlatform, listeners{
		"callers":                {target: target{http.MethodPost, operator.Prefix + "00000000000000ff", ""}},
		"readiness":              {target{http.MethodGet, "/ready", ""}, probe{http.MethodGet, "/ready"}},
		"metrics":                {target{http.MethodGet, "/metrics", ""}, metrics},
		"announcements":          {target{http.MethodPut, announcement, ""}, probe{http.MethodDelete, announcement}},
		"metrics of the sidecar": {target{http.MethodGet, "/metrics", ""}, metrics},
	})
}

func TestDispatcherOutlivesHostileMessages(t *testing.T) {
	playMessages(t, startPlatform, "/corianderhook.wire.Dispatcher/Exchange")
}

func TestProductOutlivesHostileClients(t *testing.T) {
	health := probe{http.MethodGet, "/healthz"}
	playBodies(t, startProduct, listeners{
		"callers":                     {target: target{http.MethodPost, "/v1/jobs", "Corianderhook-Team: anyone\r\nIdempotency-Key: hostile\r\n"}},
		"administration":              {target{http.MethodPost, "/v1/config", ""}, health},
		"administration of the agent": {target{http.MethodPost, "/v1/drain-not", ""}, health},
	})
}

func TestEntryOutlivesHostileMessages(t *testing.T) {
	playMessages(t, startProduct, "/corianderhook.wire.Entry/Submit")
}

// A single request with the largest legal body is served in calm, however it is sent.
func TestLargestRequestIsServed(t *testing.T) {
	for _, length := range []int64{bodyBytes, -1} {
		s := startPlatform(t, descriptors)
		job := caller.Job{ID: "00000000000000aa", Tasks: 1, RunTime: 20 * time.Millisecond, CPU: 100}
		body := job.Body() + strings.Repeat(" ", bodyBytes-len(job.Body()))
		r, err := http.NewRequest(http.MethodPost, "http://"+s.addresses["callers"]+operator.Prefix+job.ID, io.NopCloser(strings.NewReader(body)))
		if err != nil {
			t.Fatal(err)
		}
		r.Host, r.ContentLength = operator.Host, length
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		if response.StatusCode != http.StatusOK {
			t.Errorf("a body of %d bytes, announced with %d, has status %d", len(body), length, response.StatusCode)
		}
	}
}
