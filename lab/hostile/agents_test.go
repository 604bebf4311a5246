//go:build knownred

package hostile

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/corianderhook/corianderhook/wire"
)

func TestEntryOutlivesSessionsOfAgents(t *testing.T) {
	s := startProduct(t, descriptors)
	attack(t, s.addresses["processes"], crowdSize, streamClient("/corianderhook.wire.Entry/Attach", helloBatch()))
	for _, p := range s.processes {
		p.check(t, s.fds)
	}
	s.awaitRead(t)
	s.checkAfterwards(t, "processes", probe{})
}

// awaitRead waits until the processes have read what the crowd has sent: until then the attack goes on.
func (s *system) awaitRead(t *testing.T) {
	t.Helper()
	for began := time.Now(); time.Since(began) < startTimeout; time.Sleep(pollInterval) {
		unread := 0
		for _, p := range s.processes {
			unread += p.unreadBytes(t)
		}
		if unread == 0 {
			return
		}
	}
	t.Error("what the crowd has sent is not read")
}

func helloBatch() []byte {
	text, err := proto.Marshal(&wire.AgentBatch{Frames: []*wire.AgentFrame{{Body: &wire.AgentFrame_Hello{Hello: &wire.Hello{Agent: "hostile"}}}}})
	if err != nil {
		panic(err)
	}
	return text
}
