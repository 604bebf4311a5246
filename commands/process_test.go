package commands

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"k8s.io/klog/v2"

	"github.com/corianderhook/corianderhook/version/config"
)

// Process managers may send SIGTERM again while a process drains; that must not interrupt
// the requests it still serves. A SIGINT after the first signal stops it at once.
func TestRepeatedSIGTERMDoesNotInterruptDrain(t *testing.T) {
	i := is.New(t)
	graceful, immediate, stop := shutdownContexts()
	defer stop()
	i.NoErr(syscall.Kill(os.Getpid(), syscall.SIGTERM))
	<-graceful.Done()
	for range 3 {
		i.NoErr(syscall.Kill(os.Getpid(), syscall.SIGTERM))
		time.Sleep(20 * time.Millisecond)
	}
	i.NoErr(immediate.Err())
	i.NoErr(syscall.Kill(os.Getpid(), syscall.SIGINT))
	<-immediate.Done()
}

const sidecarText = `[process]
name = a1
zone = z1
[store]
address = 127.0.0.1:1
[sidecar]
endpoint = 127.0.0.1:2
announcements = 127.0.0.1:3
[runtime]
resubmission = RESUBMISSION
`

func writeSettings(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "sidecar.ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// A resubmission before the tasks of a lost process are stopped could run a task twice.
func TestResubmissionMustExceedStopTime(t *testing.T) {
	i := is.New(t)
	_, err := readSettingsFile(writeSettings(t, strings.Replace(sidecarText, "RESUBMISSION", "1s", 1)), config.RoleSidecar)
	i.True(err != nil)
	i.True(strings.Contains(err.Error(), `sidecar.ini: [runtime] resubmission = "1s"`))
	_, err = readSettingsFile(writeSettings(t, strings.Replace(sidecarText, "RESUBMISSION", "1300ms", 1)), config.RoleSidecar)
	i.NoErr(err)
}

func TestMissingKeysAreReported(t *testing.T) {
	i := is.New(t)
	_, err := readSettingsFile(writeSettings(t, strings.Replace(sidecarText, "RESUBMISSION", "1300ms", 1)), config.RoleDispatcher)
	i.True(strings.Contains(err.Error(), "[dispatcher]"))
	i.True(strings.Contains(err.Error(), "the dispatcher cannot do without this key"))
}

// An invalid file leaves the previous settings in force; a valid change is applied.
func TestChangedSettingsAreReloaded(t *testing.T) {
	i := is.New(t)
	valid := strings.Replace(sidecarText, "RESUBMISSION", "1300ms", 1)
	path := writeSettings(t, valid)
	applied := make(chan *config.Config, 4)
	go watchSettings(t.Context(), path, config.RoleSidecar, make(chan os.Signal), func(c *config.Config) { applied <- c })
	time.Sleep(100 * time.Millisecond)
	i.NoErr(os.WriteFile(path, []byte(strings.Replace(valid, "zone = z1", "zone = two words", 1)), 0o600))
	i.NoErr(os.Chtimes(path, time.Now(), time.Now().Add(time.Second)))
	select {
	case <-applied:
		t.Fatal("invalid settings were applied")
	case <-time.After(1500 * time.Millisecond):
	}
	i.NoErr(os.WriteFile(path, []byte(strings.Replace(valid, "z1", "z2", 1)), 0o600))
	i.NoErr(os.Chtimes(path, time.Now(), time.Now().Add(2*time.Second)))
	select {
	case c := <-applied:
		i.Equal(c.Process().Zone, "z2")
	case <-time.After(5 * time.Second):
		t.Fatal("changed settings were not reloaded")
	}
}

// A SIGHUP that arrives while a process starts neither ends it nor gets lost.
func TestHangUpDuringStartupReloadsSettings(t *testing.T) {
	i := is.New(t)
	path := writeSettings(t, strings.Replace(sidecarText, "RESUBMISSION", "1300ms", 1))
	hangUps := make(chan os.Signal, 1)
	hangUps <- syscall.SIGHUP
	applied := make(chan *config.Config, 1)
	go watchSettings(t.Context(), path, config.RoleSidecar, hangUps, func(c *config.Config) { applied <- c })
	select {
	case <-applied:
	case <-time.After(5 * time.Second):
		t.Fatal("the settings were not reloaded")
	}
	i.True(reloadsOnHangUp("dispatcher") && reloadsOnHangUp("sidecar") && !reloadsOnHangUp("demo"))
}

// Memory, grace time and the addresses of dispatchers take effect while a process runs. A
// change of a listening address needs a restart, and its key is logged.
func TestKeysThatNeedARestartAreLogged(t *testing.T) {
	i := is.New(t)
	text := strings.Replace(sidecarText, "RESUBMISSION", "1300ms", 1)
	before, err := readSettingsFile(writeSettings(t, text), config.RoleSidecar)
	i.NoErr(err)
	after, err := readSettingsFile(writeSettings(t, strings.Replace(text, "127.0.0.1:3", "127.0.0.1:4\ndispatchers = 127.0.0.1:9", 1)+"grace = 3s\n"), config.RoleSidecar)
	i.NoErr(err)
	changed := after.ChangedKeys(before)
	slices.Sort(changed)
	i.Equal(changed, []string{"runtime grace", "sidecar announcements", "sidecar dispatchers"})
	var log strings.Builder
	klog.SetOutput(&log)
	klog.LogToStderr(false)
	defer klog.LogToStderr(true)
	var inForce atomic.Pointer[config.Config]
	reloaded := false
	p := process{settings: before, file: "sidecar.ini", reload: func(*config.Config) { reloaded = true }}
	p.apply(&inForce, after)
	klog.Flush()
	i.True(reloaded)
	i.Equal(inForce.Load().Runtime().Grace, 3*time.Second)
	i.True(strings.Contains(log.String(), `CH1304 changed settings need a restart" file="sidecar.ini" keys=["sidecar announcements"]`))
}
