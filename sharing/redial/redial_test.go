package redial_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderhook/corianderhook/sharing/redial"
)

const middle = 0.5 // no jitter

func start() time.Time { return time.Unix(1_800_000_000, 0) }

// play tries an address whose VM gets power at up and never answers before. An attempt that has
// begun before is lost with all that it has sent. The dispatcher is announced at announcedAt; the
// zero time is never. It returns when the session is opened and the number of attempts.
func play(up, announcedAt time.Time) (opened time.Time, attempts int) {
	now := start()
	r := redial.New(now)
	for {
		attempts++
		begun := now
		timeout := r.Begin(now)
		if !begun.Before(up) {
			return begun, attempts
		}
		end := begun.Add(timeout)
		if !announcedAt.IsZero() && !announcedAt.Before(begun) && announcedAt.Before(end) {
			end = announcedAt.Add(r.Announced(announcedAt))
		}
		next := end.Add(r.Failed(end, middle))
		if !announcedAt.IsZero() && !announcedAt.Before(end) && announcedAt.Before(next) {
			r.Announced(announcedAt)
			next = announcedAt.Add(r.WaitAnnounced(middle))
		}
		now = next
	}
}

// All VMs lose power, and the dispatcher's is back up to half a second after the sidecar's: an
// announced dispatcher has its session within 0.2 s, and in less than half of the time that it takes
// without an announcement.
func TestAnnouncedDispatcherIsTriedAtOnce(t *testing.T) {
	i := is.New(t)
	var sum, unheardSum time.Duration
	for late := 20 * time.Millisecond; late < 600*time.Millisecond; late += 20 * time.Millisecond {
		up := start().Add(late)
		opened, _ := play(up, up.Add(20*time.Millisecond))
		i.True(opened.Sub(up) <= 200*time.Millisecond)
		unheard, _ := play(up, time.Time{})
		sum, unheardSum = sum+opened.Sub(up), unheardSum+unheard.Sub(up)
	}
	i.True(2*sum < unheardSum)
}

// An attempt that has begun just now reaches the dispatcher and is not given up.
func TestFreshAttemptIsNotGivenUp(t *testing.T) {
	i := is.New(t)
	r := redial.New(start())
	r.Begin(start())
	i.True(r.Announced(start().Add(10*time.Millisecond)) > 0)
	// If it fails after all, the next one follows at once.
	i.True(r.Failed(start().Add(150*time.Millisecond), middle) <= 25*time.Millisecond)
	r.Begin(start())
	i.Equal(r.Announced(start().Add(100*time.Millisecond)), time.Duration(0))
}

// A VM that stays without power costs no more attempts than before, also if its old address is
// announced again: the store keeps the records of dispatchers that are gone.
func TestDeadAddressIsTriedRarely(t *testing.T) {
	i := is.New(t)
	_, attempts := play(start().Add(time.Minute), time.Time{})
	_, announced := play(start().Add(time.Minute), start().Add(20*time.Second))
	i.True(attempts <= 45)
	i.True(announced <= attempts+15)
}
