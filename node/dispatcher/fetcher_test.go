package dispatcher

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/corianderhook/corianderhook/process/metrics"
	"github.com/corianderhook/corianderhook/version/catalog"
	"github.com/corianderhook/corianderhook/wire"
)

// decode parses a text that begins with its version; it fails for version 13.
func decode(text []byte) (*catalog.Catalog, error) {
	version := binary.BigEndian.Uint64(text)
	if version == 13 {
		return nil, errors.New("version 13 is unreadable")
	}
	return catalog.New(version, nil, nil, catalog.Limits{}, text), nil
}

// configText returns a text of the size of a configuration with 1,600 routes. It consists of
// random bytes, so that it does not compress.
func configText(version uint64) []byte {
	content := binary.BigEndian.AppendUint64(nil, version)
	random := rand.New(rand.NewPCG(version, 1))
	for len(content) < 300<<10 {
		content = binary.BigEndian.AppendUint64(content, random.Uint64())
	}
	return content
}

func listen(t testing.TB) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func startDispatcher(t testing.TB, name string, peers ...string) (*Dispatcher, string) {
	t.Helper()
	l := listen(t)
	d := New(dependencies(name, l, peers))
	run(t, d, l)
	return d, l.Addr().String()
}

func dependencies(name string, l net.Listener, peers []string) Dependencies {
	return Dependencies{
		Name: name, Address: l.Addr().String(), Peers: peers, Clock: clockwork.NewRealClock(), System: actor.NewActorSystem(),
		Decode: decode, Metrics: metrics.New(),
	}
}

// run runs a dispatcher until the test or the returned function ends it.
func run(t testing.TB, d *Dispatcher, l net.Listener) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := d.Run(ctx, l); err != nil {
			t.Error(err)
		}
	}()
	stop = func() {
		cancel()
		<-done
	}
	t.Cleanup(stop)
	return stop
}

func adopt(t testing.TB, d *Dispatcher, version uint64) {
	t.Helper()
	c, err := decode(configText(version))
	if err != nil {
		t.Fatal(err)
	}
	d.Adopt(c, "test")
}

func awaitVersion(t *testing.T, d *Dispatcher, version uint64, within time.Duration) {
	t.Helper()
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if c := d.Catalog(); c != nil && c.Version() >= version {
			return
		}
	}
	t.Fatalf("version %d is not in force after %s", version, within)
}

// Dispatchers that cannot reach the store get a large configuration from other dispatchers
// within the required 2 s, also when several of them fetch it from one source.
func TestLargeConfigurationIsFetchedFromPeers(t *testing.T) {
	i := is.New(t)
	first, address := startDispatcher(t, "d1")
	var others []*Dispatcher
	for range 5 {
		d, _ := startDispatcher(t, "d2", address)
		others = append(others, d)
	}
	for _, version := range []uint64{3, 4} {
		adopt(t, first, version)
		for _, d := range others {
			awaitVersion(t, d, version, 2*time.Second)
			i.Equal(d.Catalog().Text(), configText(version))
		}
	}
}

// A configuration that cannot be parsed leaves the current one in force, and a later
// version is still fetched.
func TestUnreadableConfigurationIsNotAdopted(t *testing.T) {
	i := is.New(t)
	first, address := startDispatcher(t, "d1")
	second, _ := startDispatcher(t, "d2", address)
	adopt(t, first, 3)
	awaitVersion(t, second, 3, 2*time.Second)
	first.Adopt(catalog.New(13, nil, nil, catalog.Limits{}, configText(13)), "test")
	time.Sleep(300 * time.Millisecond)
	i.Equal(second.Catalog().Version(), uint64(3))
	adopt(t, first, 14)
	awaitVersion(t, second, 14, 2*time.Second)
}

// Two dispatchers may fetch at once; a third is admitted when one of them has finished or
// has stopped asking.
func TestConcurrentReadersAreLimited(t *testing.T) {
	i := is.New(t)
	clock := clockwork.NewFakeClock()
	d := New(Dependencies{Name: "d1", Address: "10.0.0.1:1", Clock: clock, System: actor.NewActorSystem(), Decode: decode, Metrics: metrics.New()})
	v := &service{dispatcher: d, cache: configCache{readers: map[string]time.Time{}}}
	_, err := v.Fetch(t.Context(), &wire.PartRequest{Address: "a", Version: 1})
	i.True(err != nil) // nothing is in force
	adopt(t, d, 3)
	fetch := func(address string, from int, digest string) (*wire.Part, error) {
		return v.Fetch(t.Context(), &wire.PartRequest{Address: address, Version: 3, From: uint32(from), Digest: digest})
	}
	first, err := fetch("a", 0, "")
	i.NoErr(err)
	i.Equal(len(first.GetContent()), partBytes)
	_, err = fetch("b", 0, "")
	i.NoErr(err)
	_, err = fetch("c", 0, "")
	i.True(err != nil)
	last, err := fetch("a", int(first.GetSize())-10, first.GetDigest())
	i.NoErr(err)
	i.Equal(len(last.GetContent()), 10)
	_, err = fetch("c", 0, "")
	i.NoErr(err)
	_, err = fetch("d", 0, "")
	i.True(err != nil)
	clock.Advance(readerTimeout + time.Millisecond)
	_, err = fetch("d", 0, "")
	i.NoErr(err)
	// An offset beyond the end or into another text returns the first part.
	part, err := fetch("d", 1<<30, first.GetDigest())
	i.NoErr(err)
	i.Equal(part.GetFrom(), uint32(0))
	part, err = fetch("d", 100, "another")
	i.NoErr(err)
	i.Equal(part.GetFrom(), uint32(0))
}
