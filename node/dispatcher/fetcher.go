package dispatcher

import (
	"bytes"
	"compress/flate"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"maps"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"k8s.io/klog/v2"

	"github.com/corianderhook/corianderhook/common/pause"
	"github.com/corianderhook/corianderhook/process/transfer"
	"github.com/corianderhook/corianderhook/version/catalog"
	"github.com/corianderhook/corianderhook/wire"
)

const (
	// partBytes is the size of a part: 33 ms of a link of 2 Mbit/s, so that heartbeats
	// and offers pass between two parts.
	partBytes = 8 << 10
	// maxReaders is how many others read from one dispatcher at once; the rest read
	// from those who have finished. One that has not asked for readerTime reads no more.
	maxReaders = 2
	readerTime = 300 * time.Millisecond
	// partTime bounds one part.
	partTime = 800 * time.Millisecond
	// fetchEvery is the time between two looks at whether it is time to fetch.
	fetchEvery = 50 * time.Millisecond
	// maxTextBytes bounds an unpacked configuration.
	maxTextBytes = 16 << 20
)

// fetcher reads a newer configuration from another dispatcher where the store does not
// bring it.
type fetcher struct {
	peers    *peers
	mu       sync.Mutex
	transfer *transfer.Transfer
	// wake is signaled when another dispatcher has something newer.
	wake chan struct{}
}

func newFetcher(p *peers) *fetcher {
	return &fetcher{peers: p, transfer: transfer.New(p.dispatcher.incarnation), wake: make(chan struct{}, 1)}
}

func (f *fetcher) offered(address string, version uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.transfer.Offered(address, version, f.peers.version(), f.peers.dispatcher.deps.Clock.Now())
	if f.transfer.Pending() {
		select {
		case f.wake <- struct{}{}:
		default:
		}
	}
}

func (f *fetcher) adopted(version uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.transfer.Adopted(version)
}

func (f *fetcher) run(ctx context.Context) {
	clock := f.peers.dispatcher.deps.Clock
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.wake:
		}
		for ctx.Err() == nil && f.pending() {
			if f.due() {
				f.step(ctx)
				continue
			}
			pause.For(ctx, clock, fetchEvery)
		}
	}
}

func (f *fetcher) pending() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.transfer.Pending()
}

func (f *fetcher) due() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.transfer.Due(f.peers.dispatcher.store(), f.peers.dispatcher.deps.Clock.Now())
}

// step reads one part, and puts the configuration into force with the last one.
func (f *fetcher) step(ctx context.Context) {
	f.mu.Lock()
	address, digest, from := f.transfer.Source()
	f.mu.Unlock()
	d := f.peers.dispatcher
	part, err := f.read(ctx, address, &wire.PartRequest{
		Address: d.deps.Address, Version: f.peers.version() + 1, Digest: digest, From: uint32(from),
	})
	if err != nil {
		klog.InfoS("CH1051 configuration cannot be fetched", "entry", d.deps.Name, "from", address, "have", from, "error", err)
		f.failed(f.transfer.Failed)
		return
	}
	f.mu.Lock()
	packed, whole := f.transfer.Received(transfer.Piece{
		Version: part.GetVersion(), Digest: part.GetDigest(), Size: int(part.GetSize()), From: int(part.GetFrom()), Content: part.GetContent(),
	})
	f.mu.Unlock()
	if !whole {
		return
	}
	c, err := f.unpack(packed, part.GetDigest())
	if err != nil {
		klog.ErrorS(err, "CH1006 configuration from another dispatcher cannot be read", "from", address, "version", part.GetVersion())
		f.failed(f.transfer.Broken)
		return
	}
	d.Adopt(c, "dispatcher "+address)
}

func (f *fetcher) failed(note func(now time.Time)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	note(f.peers.dispatcher.deps.Clock.Now())
}

func (f *fetcher) read(ctx context.Context, address string, r *wire.PartRequest) (*wire.Part, error) {
	ctx, cancel := context.WithTimeout(ctx, partTime)
	defer cancel()
	conn, err := f.peers.conn(address)
	if err != nil {
		return nil, err
	}
	part, err := wire.NewDispatcherClient(conn).Fetch(ctx, r)
	if err != nil && status.Code(err) != codes.ResourceExhausted && status.Code(err) != codes.NotFound {
		f.peers.missed(address)
	}
	return part, errors.Wrap(err, "dispatcher "+address)
}

func (f *fetcher) unpack(packed []byte, digest string) (*catalog.Catalog, error) {
	if digestOf(packed) != digest {
		return nil, errors.New("the digest does not fit the text")
	}
	text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxTextBytes))
	if err != nil {
		return nil, errors.Wrap(err, "packed configuration")
	}
	return f.peers.dispatcher.deps.Decode(text)
}

func digestOf(packed []byte) string {
	sum := sha256.Sum256(packed)
	return hex.EncodeToString(sum[:])
}

// packed is a configuration as it goes to other dispatchers.
type packed struct {
	version uint64
	digest  string
	content []byte
}

// shelf keeps the configuration in force packed, once another dispatcher asks for it.
type shelf struct {
	mu     sync.Mutex
	packed *packed
	// readers are those who read now, with the time of their last request.
	readers map[string]time.Time
}

// admit reports whether a reader has its turn.
func (s *shelf) admit(address string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.readers, func(_ string, at time.Time) bool { return now.Sub(at) > readerTime })
	if _, reads := s.readers[address]; !reads && len(s.readers) >= maxReaders {
		return false
	}
	s.readers[address] = now
	return true
}

func (s *shelf) done(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.readers, address)
}

func (s *shelf) take(c *catalog.Catalog) (*packed, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.packed != nil && s.packed.version == c.Version() {
		return s.packed, nil
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "pack configuration")
	}
	if _, err := w.Write(c.Text()); err != nil {
		return nil, errors.Wrap(err, "pack configuration")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "pack configuration")
	}
	s.packed = &packed{version: c.Version(), digest: digestOf(out.Bytes()), content: out.Bytes()}
	return s.packed, nil
}

// Fetch returns a part of the configuration in force. A request that names another
// text begins anew.
func (v *service) Fetch(_ context.Context, r *wire.PartRequest) (*wire.Part, error) {
	c := v.dispatcher.Catalog()
	if c == nil || c.Version() < r.GetVersion() {
		return nil, status.Error(codes.NotFound, "no such version is known here")
	}
	if !v.shelf.admit(r.GetAddress(), v.dispatcher.deps.Clock.Now()) {
		return nil, status.Error(codes.ResourceExhausted, "others are reading")
	}
	p, err := v.shelf.take(c)
	if err != nil {
		return nil, status.Error(codes.Internal, err.Error())
	}
	from := int(r.GetFrom())
	if r.GetDigest() != p.digest || from > len(p.content) {
		from = 0
	}
	to := min(from+partBytes, len(p.content))
	if to == len(p.content) {
		v.shelf.done(r.GetAddress())
	}
	return &wire.Part{Version: p.version, Digest: p.digest, Size: uint32(len(p.content)), From: uint32(from), Content: p.content[from:to]}, nil
}
