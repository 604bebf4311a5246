package hostile

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/corianderhook/corianderhook/platform/standin/caller"
	"github.com/corianderhook/corianderhook/platform/standin/operator"
)

const (
	// A client of a crowd that comes again connects up to maxReturns times, and returns no more after
	// returnTime.
	maxReturns = 40
	returnTime = 4 * time.Second
)

// attackAgain has a crowd of clients connect and send, again as soon as the server has closed the
// connection. Those that are left stay open.
func attackAgain(t *testing.T, address string, crowd int, c client) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), returnTime)
	defer cancel()
	var all sync.WaitGroup
	for range crowd {
		all.Go(func() {
			for n := 0; n < maxReturns && ctx.Err() == nil; n++ {
				conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
				if err != nil {
					return // A server that accepts no more connections is not attacked by this client.
				}
				c(func(p []byte) bool {
					if conn.SetWriteDeadline(time.Now().Add(returnTime)) != nil {
						return false
					}
					_, err := conn.Write(p)
					return err == nil
				})
				if !awaitEnd(ctx, conn) {
					t.Cleanup(func() { conn.Close() })
					return
				}
				conn.Close()
			}
		})
	}
	all.Wait()
}

// awaitEnd waits until the server has closed a connection, or for the end of the context, and returns
// which it was.
func awaitEnd(ctx context.Context, conn net.Conn) (closed bool) {
	stop := context.AfterFunc(ctx, func() { _ = conn.SetReadDeadline(time.Now()) })
	defer stop()
	// What the server says does not matter, only when it ends.
	for buffer := make([]byte, 512); ; {
		if _, err := conn.Read(buffer); err != nil {
			return ctx.Err() == nil
		}
	}
}

// mixed returns a client that does what one of two does, the second one each fifth time.
func mixed(most, fifth client) client {
	return func(write func([]byte) bool) {
		if sentJobs.Add(1)%5 == 0 {
			fifth(write)
			return
		}
		most(write)
	}
}

// callerClients returns the kinds of clients that attack the dispatcher's listener for callers.
func callerClients() map[string]client {
	g := target{http.MethodPost, operator.Prefix + "00000000000000fd", ""}
	kinds := bodyClients(g)
	kinds["headers of many lines"] = headerClients(g)["headers of many lines that stop short"]
	kinds["large jobs"] = wholeJobs(caller.LargeBodies(bodyBytes)["steps of one task"])
	padded := caller.Job{Tasks: 1, RunTime: 20 * time.Millisecond, CPU: 100}.Body()
	kinds["bodies of which one in five is whole"] = mixed(kinds["whole bodies that stop short"], wholeJobs(padded+strings.Repeat(" ", bodyBytes-len(padded))))
	return kinds
}

func TestPlatformOutlivesClientsThatComeAgain(t *testing.T) {
	s := startPlatform(t, descriptors)
	for kind, c := range callerClients() {
		t.Run(kind, func(t *testing.T) { s.playAgain(t, "callers", c, probe{}) })
	}
}

// playAgain plays a crowd that comes again.
func (s *system) playAgain(t *testing.T, listener string, c client, p probe) {
	t.Helper()
	attackAgain(t, s.addresses[listener], crowdSize, c)
	s.checkAfterwards(t, listener, p)
}
