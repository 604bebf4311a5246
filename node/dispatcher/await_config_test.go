package dispatcher

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Callers who come back as soon as the process listens wait for the configuration, which is there
// within a few ms. Without one they are refused while they can still try elsewhere.
func TestFirstRequestsWaitForTheConfiguration(t *testing.T) {
	i := is.New(t)
	d, _ := startDispatcher(t, "d1")
	known := make(chan bool, 20)
	for range cap(known) {
		go func() { known <- d.AwaitCatalog(t.Context()) != nil }()
	}
	time.Sleep(50 * time.Millisecond)
	adopt(t, d, 3)
	for range cap(known) {
		i.True(<-known)
	}

	lonely, _ := startDispatcher(t, "d2")
	began := time.Now()
	i.True(lonely.AwaitCatalog(t.Context()) == nil)
	i.True(time.Since(began) < 2*configWait)
	began = time.Now()
	i.True(lonely.AwaitCatalog(t.Context()) == nil) // later requests do not wait
	i.True(time.Since(began) < configWait)
}
