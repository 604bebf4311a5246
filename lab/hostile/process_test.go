package hostile

import (
	"bufio"
	"encoding/hex"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"

	// A cached result holds for the program that it is from.
	_ "github.com/corianderhook/corianderhook/commands"
)

const (
	// memoryMiB is the memory in the settings of each process.
	memoryMiB = 96
	// descriptors is the descriptor limit of a process in the tests of memory, and
	// fewDescriptors, which is less than the crowd, in those of connections.
	descriptors    = 2048
	fewDescriptors = 512
	// keptDescriptors is how many descriptors a process has to leave unused.
	keptDescriptors = 64
)

// program is the path of the built program.
var program string

// TestMain builds the program, and lets only one run of these tests attack at a time.
func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	lock, err := os.OpenFile(filepath.Join(os.TempDir(), "corianderhook-hostile.lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer lock.Close()
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	dir, err := os.MkdirTemp("", "hostile")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	// The race detector, which the tests may run under, multiplies the memory of a process.
	program = filepath.Join(dir, "corianderhook")
	if out, err := exec.Command("go", "build", "-o", program, "github.com/corianderhook/corianderhook").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// process is a running process of the system.
type process struct {
	name string
	pid  int
	// exited is closed when the process has ended.
	exited chan struct{}
	log    string
	// memoryMiB is the memory in its settings.
	memoryMiB int
	// local are the addresses of its listeners as the kernel's table of connections shows them.
	local map[string]bool
}

// start starts a process with a limit of descriptors.
func start(t *testing.T, name string, fds int, args ...string) *process {
	t.Helper()
	log := filepath.Join(t.TempDir(), name+".log")
	out, err := os.Create(log)
	if err != nil {
		t.Fatal(err)
	}
	defer out.Close()
	c := exec.Command("/bin/sh", append([]string{"-c", `ulimit -n "$0" && exec "$@"`, strconv.Itoa(fds), program}, args...)...)
	c.Stdout, c.Stderr = out, out
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	p := &process{name: name, pid: c.Process.Pid, exited: make(chan struct{}), log: log, memoryMiB: memoryMiB}
	go func() {
		// How a process ends does not matter: none may end before the test has.
		_ = c.Wait()
		close(p.exited)
	}()
	t.Cleanup(func() {
		_ = c.Process.Kill()
		<-p.exited
	})
	return p
}

// check fails the test if the process has ended, has used more memory than its settings allow,
// or has used the descriptors that it has to leave unused.
func (p *process) check(t *testing.T, fds int) {
	t.Helper()
	select {
	case <-p.exited:
		text, _ := os.ReadFile(p.log)
		t.Fatalf("%s has ended: %s", p.name, text[max(0, len(text)-2000):])
	default:
	}
	peak := p.peakMemory(t)
	unread := p.unreadBytes(t)
	open := p.openDescriptors(t)
	t.Logf("%s: peak %d MiB, received and not read %d KiB, %d descriptors", p.name, peak>>20, unread>>10, open)
	if peak+unread > p.memoryMiB<<20 {
		t.Errorf("%s has used %d MiB, %d KiB of it received and not read; it has %d MiB", p.name, (peak+unread)>>20, unread>>10, p.memoryMiB)
	}
	if open > fds-keptDescriptors {
		t.Errorf("%s has %d of %d descriptors open, and has to keep %d", p.name, open, fds, keptDescriptors)
	}
}

// listensAt sets the addresses of its listeners.
func (p *process) listensAt(addresses ...string) {
	p.local = map[string]bool{}
	for _, a := range addresses {
		at := netip.MustParseAddrPort(a)
		ip := at.Addr().As4()
		p.local[fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], at.Port())] = true
	}
}

func (p *process) openDescriptors(t *testing.T) int {
	t.Helper()
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.pid))
	if err != nil {
		t.Fatal(err)
	}
	return len(open)
}

// peakMemory returns the largest resident memory so far.
func (p *process) peakMemory(t *testing.T) int {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.pid))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(text), "VmHWM:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		t.Fatalf("%s has no peak of memory", p.name)
	}
	kib, err := strconv.Atoi(fields[0])
	if err != nil {
		t.Fatal(err)
	}
	return kib << 10
}

// unreadBytes returns how many bytes the kernel holds that clients have sent to the process.
func (p *process) unreadBytes(t *testing.T) (total int) {
	t.Helper()
	file, err := os.Open(fmt.Sprintf("/proc/%d/net/tcp", p.pid))
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	const established = "01"
	for lines := bufio.NewScanner(file); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) < 5 || !p.local[fields[1]] || fields[3] != established {
			continue
		}
		_, queue, _ := strings.Cut(fields[4], ":")
		raw, err := hex.DecodeString(queue)
		if err != nil {
			t.Fatal(err)
		}
		for n, b := range raw {
			total += int(b) << (8 * (len(raw) - 1 - n))
		}
	}
	return total
}

// freeAddresses returns loopback addresses that no process listens at. They lie below the
// ephemeral ports.
func freeAddresses(t *testing.T, n int) []string {
	t.Helper()
	var all []string
	for port := 14000; len(all) < n && port < 20000; port++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		all = append(all, l.Addr().String())
		defer l.Close()
	}
	if len(all) < n {
		t.Fatalf("%d free ports are needed, %d were found", n, len(all))
	}
	return all
}
