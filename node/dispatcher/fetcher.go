package dispatcher

import (
	"bytes"
	"compress/flate"
	"context"
	"io"
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
	// partTimeout limits the request of one part.
	partTimeout = 800 * time.Millisecond
	// dueCheckInterval is the time between two checks whether the next request is due.
	dueCheckInterval = 50 * time.Millisecond
	// maxTextBytes limits the size of an unpacked configuration.
	maxTextBytes = 16 << 20
)

// fetcher fetches a newer configuration from another dispatcher if the store does not
// deliver it.
type fetcher struct {
	peers    *peers
	mu       sync.Mutex
	transfer *transfer.Transfer
	// wake is signaled when another dispatcher has a newer version.
	wake chan struct{}
}

func newFetcher(p *peers) *fetcher {
	return &fetcher{peers: p, transfer: transfer.New(p.dispatcher.incarnation), wake: make(chan struct{}, 1)}
}

// noteOffer records the version that another dispatcher has.
func (f *fetcher) noteOffer(address string, version uint64) {
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

// noteAdopted drops offers that are not newer than the version now in force.
func (f *fetcher) noteAdopted(version uint64) {
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
				f.fetchNextPart(ctx)
				continue
			}
			pause.For(ctx, clock, dueCheckInterval)
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
	return f.transfer.Due(f.peers.dispatcher.storeActivity(), f.peers.dispatcher.deps.Clock.Now())
}

// fetchNextPart fetches one part, and adopts the configuration after the last one.
func (f *fetcher) fetchNextPart(ctx context.Context) {
	f.mu.Lock()
	address, digest, from := f.transfer.Source()
	f.mu.Unlock()
	d := f.peers.dispatcher
	requestedAt := d.deps.Clock.Now()
	part, err := f.fetchPart(ctx, address, &wire.PartRequest{
		Address: d.deps.Address, Version: f.peers.version() + 1, Digest: digest, From: uint32(from),
	})
	var packed []byte
	complete := false
	if err == nil {
		f.mu.Lock()
		packed, complete, err = f.transfer.Received(transfer.Part{
			Digest: part.GetDigest(), Size: int(part.GetSize()), From: int(part.GetFrom()), Content: part.GetContent(),
		})
		f.mu.Unlock()
	}
	if err != nil {
		klog.InfoS("CH1051 configuration cannot be fetched", "entry", d.deps.Name, "from", address, "have", from, "error", err)
		f.recordFailure(f.transfer.Failed)
		return
	}
	if !complete {
		return
	}
	c, err := f.unpack(packed, part.GetDigest())
	if err != nil {
		klog.ErrorS(err, "CH1006 configuration from another dispatcher cannot be read", "from", address, "version", part.GetVersion())
		f.recordFailure(f.transfer.Corrupt)
		return
	}
	// The evacuations go first: they are at least as new as the configuration.
	f.peers.handleEvacuation(part.GetEvacuation(), requestedAt, address)
	d.Adopt(c, "dispatcher "+address)
}

func (f *fetcher) recordFailure(record func(now time.Time)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	record(f.peers.dispatcher.deps.Clock.Now())
}

func (f *fetcher) fetchPart(ctx context.Context, address string, r *wire.PartRequest) (*wire.Part, error) {
	ctx, cancel := context.WithTimeout(ctx, partTimeout)
	defer cancel()
	conn, err := f.peers.conn(address)
	if err != nil {
		return nil, err
	}
	part, err := wire.NewDispatcherClient(conn).Fetch(ctx, r)
	if err != nil && status.Code(err) != codes.ResourceExhausted && status.Code(err) != codes.NotFound {
		f.peers.handleNoAnswer(address)
	}
	return part, errors.Wrap(err, "dispatcher "+address)
}

// unpack verifies the digest of a packed configuration, decompresses and parses it.
func (f *fetcher) unpack(packed []byte, digest string) (*catalog.Catalog, error) {
	if digestOf(packed) != digest {
		return nil, errors.New("the packed configuration does not match its digest")
	}
	text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxTextBytes))
	if err != nil {
		return nil, errors.Wrap(err, "unpack configuration")
	}
	return f.peers.dispatcher.deps.Decode(text)
}
