package cputime_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderhook/corianderhook/common/cputime"
)

func TestBusyTimeIsCounted(t *testing.T) {
	i := is.New(t)
	before := cputime.Used()
	// The loop ends when the processor time has advanced, however busy the machine is.
	for end := time.Now().Add(30 * time.Second); cputime.Used()-before < 20*time.Millisecond; {
		if time.Now().After(end) {
			t.Fatal("no processor time was counted in 30 s of work")
		}
	}
	i.True(before >= 0)
}
