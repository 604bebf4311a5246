package registration_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderhook/corianderhook/process/registration"
	"github.com/corianderhook/corianderhook/request/size"
)

func announcement(instance string, born, sequence int) registration.Announcement {
	return registration.Announcement{
		Instance: instance, Born: time.UnixMilli(int64(born)), Sequence: uint64(sequence), Service: "checks", Capacity: size.Size{CPU: 1},
	}
}

func TestAnnouncements(t *testing.T) {
	i := is.New(t)
	r := registration.New()
	i.Equal(r.Announce(announcement("a", 10, 2)), registration.Reborn)
	i.Equal(r.Announce(announcement("a", 10, 3)), registration.Same)
	i.Equal(r.Announce(announcement("a", 10, 3)), registration.Stale)
	grown := announcement("a", 10, 4)
	grown.Capacity.CPU = 2
	i.Equal(r.Announce(grown), registration.Changed)
	// A crashed endpoint's last words come late.
	i.Equal(r.Announce(announcement("b", 20, 1)), registration.Reborn)
	i.Equal(r.Announce(announcement("a", 10, 9)), registration.Stale)
	// The same name, a new life.
	i.Equal(r.Announce(announcement("b", 30, 1)), registration.Reborn)
}

func TestDrainingIsPermanentForAnIncarnation(t *testing.T) {
	i := is.New(t)
	r := registration.New()
	r.Announce(announcement("a", 10, 1))
	leaving := announcement("a", 10, 2)
	leaving.Draining = true
	i.Equal(r.Announce(leaving), registration.Changed)
	r.Announce(announcement("a", 10, 3))
	current, _ := r.Current()
	i.True(current.Draining)
	i.True(!r.Leave("other"))
	i.True(r.Leave("a"))
	i.Equal(r.Announce(announcement("a", 10, 4)), registration.Stale)
	i.Equal(r.Announce(announcement("a", 11, 1)), registration.Reborn)
}

func TestStoredAnnouncementCountsForTheSameIncarnationOnly(t *testing.T) {
	i := is.New(t)
	r := registration.New()
	kept := announcement("a", 10, 7)
	i.True(!r.Restore(kept, time.UnixMilli(11)))
	i.True(r.Restore(kept, time.UnixMilli(10)))
	// The endpoint's own word comes after it, whatever its number.
	i.Equal(r.Announce(announcement("a", 10, 1)), registration.Same)
	i.True(!r.Restore(kept, time.UnixMilli(10)))
}
