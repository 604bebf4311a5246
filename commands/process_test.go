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

// Whoever stops a process may ask again while it drains; that must not cut what it
// still serves. The keyboard's second interrupt ends it at once.
func TestRepeatedSIGTERMDoesNotInterruptDrain(t *testing.T) {
	i := is.New(t)
	first, second, stop := signals()
	defer stop()
	i.NoErr(syscall.Kill(os.Getpid(), syscall.SIGTERM))
	<-first.Done()
	for range 3 {
		i.NoErr(syscall.Kill(os.Getpid(), syscall.SIGTERM))
		time.Sleep(20 * time.Millisecond)
	}
	i.NoErr(second.Err())
	i.NoErr(syscall.Kill(os.Getpid(), syscall.SIGINT))
	<-second.Done()
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

func write(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "sidecar.ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// A resubmission that is sooner than lost tasks are stopped could run a task twice.
func TestResubmissionMustExceedStopTime(t *testing.T) {
	i := is.New(t)
	_, err := readSettingsFile(write(t, strings.Replace(sidecarText, "RESUBMISSION", "1s", 1)), config.RoleSidecar)
	i.True(err != nil)
	i.True(strings.Contains(err.Error(), `sidecar.ini: [runtime] resubmission = "1s"`))
	_, err = readSettingsFile(write(t, strings.Replace(sidecarText, "RESUBMISSION", "1300ms", 1)), config.RoleSidecar)
	i.NoErr(err)
}

func TestMissingKeysAreReported(t *testing.T) {
	i := is.New(t)
	_, err := readSettingsFile(write(t, strings.Replace(sidecarText, "RESUBMISSION", "1300ms", 1)), config.RoleDispatcher)
	i.True(strings.Contains(err.Error(), "[dispatcher]"))
	i.True(strings.Contains(err.Error(), "the dispatcher cannot do without this key"))
}

// A file that turns faulty leaves the former settings in force; a good one is taken.
func TestChangedSettingsAreReloaded(t *testing.T) {
	i := is.New(t)
	good := strings.Replace(sidecarText, "RESUBMISSION", "1300ms", 1)
	path := write(t, good)
	taken := make(chan *config.Config, 4)
	go watchSettings(t.Context(), path, config.RoleSidecar, make(chan os.Signal), func(c *config.Config) { taken <- c })
	time.Sleep(100 * time.Millisecond)
	i.NoErr(os.WriteFile(path, []byte(strings.Replace(good, "zone = z1", "zone = two words", 1)), 0o600))
	i.NoErr(os.Chtimes(path, time.Now(), time.Now().Add(time.Second)))
	select {
	case <-taken:
		t.Fatal("faulty settings were taken")
	case <-time.After(1500 * time.Millisecond):
	}
	i.NoErr(os.WriteFile(path, []byte(strings.Replace(good, "z1", "z2", 1)), 0o600))
	i.NoErr(os.Chtimes(path, time.Now(), time.Now().Add(2*time.Second)))
	select {
	case c := <-taken:
		i.Equal(c.Process().Zone, "z2")
	case <-time.After(5 * time.Second):
		t.Fatal("changed settings were not read again")
	}
}

// A hang-up that comes while a process starts neither ends it nor is forgotten.
func TestHangUpDuringStartupReloadsSettings(t *testing.T) {
	i := is.New(t)
	path := write(t, strings.Replace(sidecarText, "RESUBMISSION", "1300ms", 1))
	hangUps := make(chan os.Signal, 1)
	hangUps <- syscall.SIGHUP
	taken := make(chan *config.Config, 1)
	go watchSettings(t.Context(), path, config.RoleSidecar, hangUps, func(c *config.Config) { taken <- c })
	select {
	case <-taken:
	case <-time.After(5 * time.Second):
		t.Fatal("the settings were not read again")
	}
	i.True(readsAgain("dispatcher") && readsAgain("sidecar") && !readsAgain("demo"))
}

// Memory, grace and addresses of dispatchers are taken while a process runs; a changed
// address of its own waits for a restart and is named.
func TestKeysThatNeedARestartAreLogged(t *testing.T) {
	i := is.New(t)
	good := strings.Replace(sidecarText, "RESUBMISSION", "1300ms", 1)
	former, err := readSettingsFile(write(t, good), config.RoleSidecar)
	i.NoErr(err)
	newer, err := readSettingsFile(write(t, strings.Replace(good, "127.0.0.1:3", "127.0.0.1:4\ndispatchers = 127.0.0.1:9", 1)+"grace = 3s\n"), config.RoleSidecar)
	i.NoErr(err)
	changed := newer.ChangedKeys(former)
	slices.Sort(changed)
	i.Equal(changed, []string{"runtime grace", "sidecar announcements", "sidecar dispatchers"})
	var log strings.Builder
	klog.SetOutput(&log)
	klog.LogToStderr(false)
	defer klog.LogToStderr(true)
	var inForce atomic.Pointer[config.Config]
	reloaded := false
	p := process{settings: former, file: "sidecar.ini", reload: func(*config.Config) { reloaded = true }}
	p.apply(&inForce, newer)
	klog.Flush()
	i.True(reloaded)
	i.Equal(inForce.Load().Runtime().Grace, 3*time.Second)
	i.True(strings.Contains(log.String(), `CH1304 settings wait for a restart" file="sidecar.ini" keys=["sidecar announcements"]`))
}
