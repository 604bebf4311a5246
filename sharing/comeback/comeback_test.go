package comeback_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderhook/corianderhook/sharing/comeback"
)

// A thousand callers that are refused together come back spread over a second, none before there is
// room.
func TestRefusedCallersDoNotComeBackTogether(t *testing.T) {
	i := is.New(t)
	w := comeback.Window{Earliest: time.Second, Latest: 5 * time.Second}
	byTenth := map[time.Duration]int{}
	for n := range 1000 {
		after := w.After(fmt.Sprintf("%016x", n*7919), 300*time.Millisecond)
		i.True(after >= time.Second && after <= 2*time.Second)
		byTenth[after/(100*time.Millisecond)]++
	}
	for _, count := range byTenth {
		i.True(count < 200)
	}
	i.Equal(w.After("a", 3*time.Second), w.After("a", 3*time.Second))
	i.True(w.After("a", time.Minute) <= 5*time.Second)
}
