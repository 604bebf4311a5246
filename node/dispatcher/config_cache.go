package dispatcher

import (
	"bytes"
	"compress/flate"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/corianderhook/corianderhook/version/catalog"
	"github.com/corianderhook/corianderhook/wire"
)

const (
	// partBytes is the size of a part. It takes 33 ms on a link of 2 Mbit/s, so that
	// heartbeats and offers can be sent between two parts.
	partBytes = 8 << 10
	// maxReaders is the number of dispatchers that may fetch from this one at once; the
	// others fetch from those that have finished. A dispatcher that has not requested a part
	// for readerTimeout does not count any more.
	maxReaders    = 2
	readerTimeout = 300 * time.Millisecond
)

// packedConfig is a compressed configuration, as sent to other dispatchers.
type packedConfig struct {
	version uint64
	digest  string
	content []byte
}

// configCache holds the packed form of the configuration, from the first request of
// another dispatcher on, and limits the number of concurrent readers.
type configCache struct {
	mu     sync.Mutex
	packed *packedConfig
	// readers holds by address the time of the last request of each current reader.
	readers map[string]time.Time
}

// admit reports whether a dispatcher may fetch a part now, and if so counts it as a reader.
func (cache *configCache) admit(address string, now time.Time) bool {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	maps.DeleteFunc(cache.readers, func(_ string, at time.Time) bool { return now.Sub(at) > readerTimeout })
	if _, admitted := cache.readers[address]; !admitted && len(cache.readers) >= maxReaders {
		return false
	}
	cache.readers[address] = now
	return true
}

func (cache *configCache) removeReader(address string) {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	delete(cache.readers, address)
}

// get returns the packed form of a configuration and caches it.
func (cache *configCache) get(c *catalog.Catalog) (*packedConfig, error) {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	if cache.packed != nil && cache.packed.version == c.Version() {
		return cache.packed, nil
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
	cache.packed = &packedConfig{version: c.Version(), digest: digestOf(out.Bytes()), content: out.Bytes()}
	return cache.packed, nil
}

// Fetch returns a part of the configuration in force. If the request has the digest of
// another text or an offset beyond the end, it returns the first part.
func (v *service) Fetch(_ context.Context, r *wire.PartRequest) (*wire.Part, error) {
	c := v.dispatcher.Catalog()
	if c == nil || c.Version() < r.GetVersion() {
		return nil, status.Error(codes.NotFound, "no such version is known here")
	}
	if !v.cache.admit(r.GetAddress(), v.dispatcher.deps.Clock.Now()) {
		return nil, status.Error(codes.ResourceExhausted, "others are reading")
	}
	packed, err := v.cache.get(c)
	if err != nil {
		return nil, status.Error(codes.Internal, err.Error())
	}
	from := int(r.GetFrom())
	if r.GetDigest() != packed.digest || from > len(packed.content) {
		from = 0
	}
	to := min(from+partBytes, len(packed.content))
	if to == len(packed.content) {
		v.cache.removeReader(r.GetAddress())
	}
	return &wire.Part{
		Version: packed.version, Digest: packed.digest, Size: uint32(len(packed.content)), From: uint32(from), Content: packed.content[from:to],
		Evacuation: v.dispatcher.gate.Message(v.dispatcher.deps.Clock.Now()),
	}, nil
}

func digestOf(packed []byte) string {
	sum := sha256.Sum256(packed)
	return hex.EncodeToString(sum[:])
}
