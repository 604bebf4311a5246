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

// decode reads a text that begins with its version; version 13 cannot be read.
func decode(text []byte) (*catalog.Catalog, error) {
	version := binary.BigEndian.Uint64(text)
	if version == 13 {
		return nil, errors.New("no such luck")
	}
	return catalog.New(version, nil, nil, catalog.Limits{}, text), nil
}

// text is a configuration of the size of 1,600 routes that packs as badly as random bytes.
func text(version uint64) []byte {
	list := binary.BigEndian.AppendUint64(nil, version)
	random := rand.New(rand.NewPCG(version, 1))
	for len(list) < 300<<10 {
		list = binary.BigEndian.AppendUint64(list, random.Uint64())
	}
	return list
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func run(t *testing.T, name string, peers ...string) (*Dispatcher, string) {
	t.Helper()
	l := listen(t)
	d := New(Dependencies{
		Name: name, Address: l.Addr().String(), Peers: peers, Clock: clockwork.NewRealClock(), System: actor.NewActorSystem(),
		Decode: decode, Metrics: metrics.New(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := d.Run(ctx, l); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return d, l.Addr().String()
}

func adopt(t *testing.T, d *Dispatcher, version uint64) {
	t.Helper()
	c, err := decode(text(version))
	if err != nil {
		t.Fatal(err)
	}
	d.Adopt(c, "test")
}

func await(t *testing.T, d *Dispatcher, version uint64, within time.Duration) {
	t.Helper()
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if c := d.Catalog(); c != nil && c.Version() >= version {
			return
		}
	}
	t.Fatalf("version %d is not in force after %s", version, within)
}

// Dispatchers that the store does not serve have a large configuration from others
// within the 2 s of the users' bound, also several of them from one source.
func TestLargeConfigurationIsFetchedFromPeers(t *testing.T) {
	i := is.New(t)
	first, address := run(t, "d1")
	var others []*Dispatcher
	for range 5 {
		d, _ := run(t, "d2", address)
		others = append(others, d)
	}
	for _, version := range []uint64{3, 4} {
		adopt(t, first, version)
		for _, d := range others {
			await(t, d, version, 2*time.Second)
			i.Equal(d.Catalog().Text(), text(version))
		}
	}
}

// A text that cannot be read leaves the version in force, and does not bar the next.
func TestUnreadableConfigurationIsNotAdopted(t *testing.T) {
	i := is.New(t)
	first, address := run(t, "d1")
	second, _ := run(t, "d2", address)
	adopt(t, first, 3)
	await(t, second, 3, 2*time.Second)
	first.Adopt(catalog.New(13, nil, nil, catalog.Limits{}, text(13)), "test")
	time.Sleep(300 * time.Millisecond)
	i.Equal(second.Catalog().Version(), uint64(3))
	adopt(t, first, 14)
	await(t, second, 14, 2*time.Second)
}

// Two read at once; a third has its turn when one has finished or asks no more.
func TestConcurrentReadersAreLimited(t *testing.T) {
	i := is.New(t)
	clock := clockwork.NewFakeClock()
	d := New(Dependencies{Name: "d1", Address: "10.0.0.1:1", Clock: clock, System: actor.NewActorSystem(), Decode: decode, Metrics: metrics.New()})
	v := &service{dispatcher: d, shelf: shelf{readers: map[string]time.Time{}}}
	_, err := v.Fetch(t.Context(), &wire.PartRequest{Address: "a", Version: 1})
	i.True(err != nil) // nothing is in force
	adopt(t, d, 3)
	ask := func(address string, from int, digest string) (*wire.Part, error) {
		return v.Fetch(t.Context(), &wire.PartRequest{Address: address, Version: 3, From: uint32(from), Digest: digest})
	}
	first, err := ask("a", 0, "")
	i.NoErr(err)
	i.Equal(len(first.GetContent()), partBytes)
	_, err = ask("b", 0, "")
	i.NoErr(err)
	_, err = ask("c", 0, "")
	i.True(err != nil)
	last, err := ask("a", int(first.GetSize())-10, first.GetDigest())
	i.NoErr(err)
	i.Equal(len(last.GetContent()), 10)
	_, err = ask("c", 0, "")
	i.NoErr(err)
	_, err = ask("d", 0, "")
	i.True(err != nil)
	clock.Advance(readerTime + time.Millisecond)
	_, err = ask("d", 0, "")
	i.NoErr(err)
	// An offset beyond the end, or into another text, begins anew.
	part, err := ask("d", 1<<30, first.GetDigest())
	i.NoErr(err)
	i.Equal(part.GetFrom(), uint32(0))
	part, err = ask("d", 100, "another")
	i.NoErr(err)
	i.Equal(part.GetFrom(), uint32(0))
}
