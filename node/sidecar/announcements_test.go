package sidecar

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/corianderhook/corianderhook/process/metrics"
	"github.com/corianderhook/corianderhook/process/registration"
	"github.com/corianderhook/corianderhook/request/size"
)

// unreliableStore fails the first calls.
type unreliableStore struct {
	mu       sync.Mutex
	failures int
	stored   []registration.Announcement
}

func (s *unreliableStore) Remember(_ context.Context, a registration.Announcement) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failures > 0 {
		s.failures--
		return errors.New("the store is down")
	}
	s.stored = append(s.stored, a)
	return nil
}

func (s *unreliableStore) Restore(context.Context) (registration.Announcement, bool, error) {
	return registration.Announcement{}, false, nil
}

// The capacity has shrunk while the store was down. A later sidecar must not find the old one.
func TestNewestAnnouncementIsStoredInTheEnd(t *testing.T) {
	i := is.New(t)
	clock := clockwork.NewFakeClock()
	store := &unreliableStore{failures: 2}
	s := New(Dependencies{Name: "s", Clock: clock, System: actor.NewActorSystem(), Metrics: metrics.New(), AnnouncementStore: store})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	var group sync.WaitGroup
	group.Go(func() { s.storeAnnouncements(ctx) })
	s.storeAnnouncement(registration.Announcement{Sequence: 1, Capacity: size.Size{CPU: 8000}})
	i.NoErr(clock.BlockUntilContext(ctx, 1))
	s.storeAnnouncement(registration.Announcement{Sequence: 2, Capacity: size.Size{CPU: 4000}})
	s.storeAnnouncement(registration.Announcement{Sequence: 3, Capacity: size.Size{CPU: 2000}})
	clock.Advance(storeRetryInterval)
	i.NoErr(clock.BlockUntilContext(ctx, 1))
	clock.Advance(storeRetryInterval)
	for ctx.Err() == nil {
		store.mu.Lock()
		count := len(store.stored)
		store.mu.Unlock()
		if count > 0 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	cancel()
	group.Wait()
	i.Equal(len(store.stored), 1)
	i.Equal(store.stored[0].Capacity.CPU, 2000)
}
