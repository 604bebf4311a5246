package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/corianderhook/corianderhook/platform/standin/store"
)

// Names of the deployment; its figures are those of the small sites.
const (
	service = "press-qc"
	host    = "press.example"
	prefix  = "/press/"
	// lots is the prefix of another queue of the same service.
	lots     = "/lots/"
	graceS   = 6
	ctMillis = 3000
	binary   = "target/corianderhook"
)

// machine is a machine of the system with its one process.
type machine struct {
	name, ip, front, ready, control string
	role, settings                  string
	command                         *exec.Cmd
	exited                          chan struct{}
}

// rig is a small deployment on loopback addresses.
type rig struct {
	dir       string
	log       *record
	store     *store.Store
	storeAt   string
	net       int
	fronts    []*machine
	sides     []*machine
	executors []*executor
}

// newRig starts a deployment and waits until every front serves.
func newRig(log *record, fronts, sides int) (*rig, error) {
	dir, err := os.MkdirTemp("", "rig3-")
	if err != nil {
		return nil, err
	}
	r := &rig{dir: dir, log: log, store: store.New(clockwork.NewRealClock()), net: 20 + rand.IntN(200)}
	if r.storeAt, err = r.freeAddress(0, 1); err != nil {
		return r, err
	}
	l, err := net.Listen("tcp", r.storeAt)
	if err != nil {
		return r, err
	}
	go func() { _ = http.Serve(l, r.store.Handler()) }()
	r.publish(1)
	for i := range fronts {
		if err := r.addFront(i); err != nil {
			return r, err
		}
	}
	for i := range sides {
		if err := r.addSide(i); err != nil {
			return r, err
		}
	}
	return r, r.awaitService()
}

func (r *rig) ip(subnet, host int) string { return fmt.Sprintf("127.%d.%d.%d", r.net, subnet, host) }

func (r *rig) freeAddress(subnet, host int) (string, error) {
	l, err := net.Listen("tcp", r.ip(subnet, host)+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// publish writes a desired state.
func (r *rig) publish(version int) {
	text, _ := json.Marshal(map[string]any{
		"version": version, "services": []map[string]any{{"name": service, "rejectsOverload": false}},
		"routes": []map[string]any{route("press", prefix, 0), route("lots", lots, 1)},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 5000, "idleTimeoutMs": 60000},
	})
	r.store.Put(wire("$desired"), "config", text)
}

func route(name, path string, priority int) map[string]any {
	return map[string]any{
		"name": name, "host": host, wire("$prefix"): path, "service": service, "timeoutMs": 1500,
		"priority": priority, wire("$attempts"): 3, "stretch": 1.6, wire("$latency"): 60,
	}
}

func zoneOf(i int) string { return "azuay-" + string(rune('a'+i%3)) }

func (r *rig) addFront(i int) error {
	m := &machine{name: fmt.Sprintf("front-%d", i+1), ip: r.ip(1, i+1), role: "dispatcher", exited: make(chan struct{})}
	for _, a := range []*string{&m.front, &m.ready, &m.control} {
		var err error
		if *a, err = r.freeAddress(1, i+1); err != nil {
			return err
		}
	}
	r.fronts = append(r.fronts, m)
	return r.run(m, "deploy/dispatcher.ini", map[string]any{"zone": zoneOf(i)})
}

func (r *rig) addSide(i int) error {
	m := &machine{name: fmt.Sprintf("side-%d", i+1), ip: r.ip(2, i+1), role: "sidecar", exited: make(chan struct{})}
	var err error
	if m.control, err = r.freeAddress(2, i+1); err != nil {
		return err
	}
	app, err := r.freeAddress(3, i+1)
	if err != nil {
		return err
	}
	r.sides = append(r.sides, m)
	e := &executor{
		id: fmt.Sprintf("i-%08x", rand.Uint32()), app: app, control: m.control, service: service, zone: zoneOf(i), log: r.log,
		labels: []string{"a", fmt.Sprintf("r%d", i/3+1)},
	}
	fields := map[string]any{"zone": zoneOf(i), "app": app}

	r.executors = append(r.executors, e)
	if err := e.start(); err != nil {
		return err
	}
	return r.run(m, "deploy/sidecar.ini", fields)
}

// run writes the settings of a machine as the platform does, and starts its process.
func (r *rig) run(m *machine, template string, fields map[string]any) error {
	text, err := os.ReadFile(template)
	if err != nil {
		return err
	}
	var seeds []string
	for _, f := range r.fronts {
		seeds = append(seeds, f.control)
	}
	values := map[string]string{
		"node": m.name, "ip": m.ip, "listen.front": m.front, "listen.ready": m.ready, "listen.control": m.control,
		"seeds": strings.Join(seeds[:min(3, len(seeds))], ","), "platform.address": r.storeAt,
		"limits.memoryMb": "284", "limits.linkMbps": "1000.0", "limits.maxFds": "4100",
		"bounds.graceS": fmt.Sprint(graceS), "bounds.retransmitMs": "1300",
	}
	for name, v := range fields {
		values[name] = fmt.Sprint(v)
	}
	m.settings = filepath.Join(r.dir, m.name+".ini")
	if err := os.WriteFile(m.settings, []byte(fill(string(text), values)), 0o600); err != nil {
		return err
	}
	return r.launch(m)
}

var (
	sections     = regexp.MustCompile(`(?s)\{\{#([\w.]+)\}\}(.*?)\{\{/[\w.]+\}\}`)
	placeholders = regexp.MustCompile(`\{\{([\w.]+)\}\}`)
)

// fill fills in a template of settings.
func fill(text string, values map[string]string) string {
	text = sections.ReplaceAllStringFunc(text, func(s string) string {
		part := sections.FindStringSubmatch(s)
		v, present := values[part[1]]
		if !present {
			return ""
		}
		return strings.ReplaceAll(part[2], "{{.}}", v)
	})
	return placeholders.ReplaceAllStringFunc(text, func(s string) string { return values[placeholders.FindStringSubmatch(s)[1]] })
}

func (r *rig) launch(m *machine) error {
	log, err := os.OpenFile(filepath.Join(r.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	m.command = exec.Command(binary, m.role)
	m.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + r.dir, "CORIANDERHOOK_NODE_FILE=" + m.settings}
	m.command.Stdout, m.command.Stderr = log, log
	if err := m.command.Start(); err != nil {
		return err
	}
	command, exited := m.command, m.exited
	go func() {
		_ = command.Wait()
		r.log.add("%s has ended", m.name)
		close(exited)
	}()
	return nil
}

// stop ends all processes and removes their files.
func (r *rig) stop() {
	defer os.RemoveAll(r.dir)
	for _, m := range append(r.fronts, r.sides...) {
		if m.command != nil && m.command.Process != nil {
			_ = m.command.Process.Signal(syscall.SIGKILL)
			<-m.exited
		}
	}
}

// answer is what a client gets; status is 0 without a whole answer.
type answer struct {
	status   int
	body     string
	err      error
	from, to time.Time
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("no answer after %d ms: %v", a.to.Sub(a.from).Milliseconds(), a.err)
	}
	return fmt.Sprintf("%d after %d ms: %s", a.status, a.to.Sub(a.from).Milliseconds(), strings.TrimSpace(a.body))
}

// call sends a request about a job on a connection of its own, and waits for the budget.
func (r *rig) call(m *machine, method, id, body string, budget time.Duration) answer {
	return r.request(m, method, prefix+id, body, budget)
}

func (r *rig) request(m *machine, method, path, body string, budget time.Duration) answer {
	a := answer{from: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), budget)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+m.front+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	request.Host = host
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(wire("$budget"), fmt.Sprint(budget.Milliseconds()))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err == nil {
		var text []byte
		text, err = io.ReadAll(response.Body)
		response.Body.Close()
		a.status, a.body = response.StatusCode, string(text)
	}
	if a.to, a.err = time.Now(), err; err != nil {
		a.status = 0
	}
	return a
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// job is the body of a job of one step.
func job(work, count int) string {
	return fmt.Sprintf(wire(`{"spec":"%d","$unkept":true,"steps":[{"count":%d,"cpu":1000,"$mem":64,"$guess":%d}]}`), work, count, work)
}

// awaitService waits until every front serves a job of one task for each executor.
func (r *rig) awaitService() error {
	deadline := time.Now().Add(20 * time.Second)
	for _, m := range r.fronts {
		for {
			body := fmt.Sprintf(wire(`{"spec":"20","$unkept":true,"steps":[{"count":%d,"cpu":1000,"$mem":64,"$guess":20,"antiAffinity":1}]}`), len(r.executors))
			if a := r.call(m, http.MethodPost, newID(), body, 1500*time.Millisecond); a.status == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s does not serve", m.name)
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	r.log.add("%d fronts and %d executors serve", len(r.fronts), len(r.executors))
	return nil
}
