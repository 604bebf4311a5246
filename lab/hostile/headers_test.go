package hostile

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/corianderhook/corianderhook/platform/standin/operator"
)

// headerBytes is the size of the headers that the crowd sends, which is within the limit.
const headerBytes = 16 << 10

// manyLines returns as many header lines as there is room for.
func manyLines() string {
	var lines strings.Builder
	for n := 0; lines.Len() < headerBytes-64; n++ {
		fmt.Fprintf(&lines, "%x:\n", n)
	}
	return lines.String()
}

// headerClients returns the kinds of clients that attack an HTTP server with headers.
func headerClients(g target) map[string]client {
	lines := manyLines()
	start := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: checks.example\r\n%s", g.method, g.path, g.headers)
	return map[string]client{
		"headers of many lines that stop short": func(write func([]byte) bool) { write([]byte(start + lines)) },
		"bodies that never begin after headers of many lines": func(write func([]byte) bool) {
			write(fmt.Appendf(nil, "%sContent-Length: %d\r\n%s\r\n", start, bodyBytes, lines))
		},
		"one long header line": func(write func([]byte) bool) { write([]byte(start + "X: " + strings.Repeat("x", headerBytes-256))) },
	}
}

func TestPlatformOutlivesLargeHeaders(t *testing.T) {
	s := startPlatform(t, descriptors)
	metrics := probe{http.MethodGet, "/metrics"}
	s.playAll(t, "callers", headerClients(target{http.MethodPost, operator.Prefix + "00000000000000fe", ""}), probe{})
	s.playAll(t, "metrics", headerClients(target{http.MethodGet, "/metrics", ""}), metrics)
	s.playAll(t, "metrics of the sidecar", headerClients(target{http.MethodGet, "/metrics", ""}), metrics)
}

func TestProductOutlivesLargeHeaders(t *testing.T) {
	s := startProduct(t, descriptors)
	s.playAll(t, "callers", headerClients(target{http.MethodPost, "/v1/jobs", "Corianderhook-Team: anyone\r\nIdempotency-Key: hostile\r\n"}), probe{})
}
