package hostile

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// crowdSize is the number of clients that attack at once.
	crowdSize = 600
	// bodyBytes is the size of the bodies that stop one byte short of their end, the legal
	// maximum of the configuration.
	bodyBytes = 262_144
	// overBytes is what a client sends of a body over the limit, announcedBytes what it announces.
	overBytes      = 2 << 20
	announcedBytes = 1 << 30
	pieceBytes     = 4 << 10
	chunkBytes     = 64 << 10
	// stuckWriteTimeout ends the write of a client whose peer does not read.
	stuckWriteTimeout = 20 * time.Second
	// Messages to a gRPC server stop short of messageBytes, within its flow-control window.
	messageBytes     = 32 << 20
	messageSentBytes = 900 << 10
	smallFrames      = 20_000
	frameBytes       = 16 << 10
)

// client writes what one client sends and returns when it has sent everything.
type client func(write func([]byte) bool)

// target is where HTTP requests with a body go.
type target struct{ method, path, headers string }

func (g target) header(framing string) []byte {
	return fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: checks.example\r\n%s%s\r\n\r\n", g.method, g.path, g.headers, framing)
}

// bodyClients returns the kinds of clients that attack an HTTP server with bodies.
func bodyClients(g target) map[string]client {
	chunked := g.header("Transfer-Encoding: chunked")
	return map[string]client{
		"whole bodies that stop short": func(write func([]byte) bool) {
			write(append(g.header(fmt.Sprintf("Content-Length: %d", bodyBytes)), text(bodyBytes-1)...))
		},
		"bodies in pieces that stop short": func(write func([]byte) bool) {
			ok := write(g.header(fmt.Sprintf("Content-Length: %d", bodyBytes)))
			for sent := 0; ok && sent < bodyBytes-1; sent += pieceBytes {
				ok = write(text(min(pieceBytes, bodyBytes-1-sent)))
			}
		},
		"large chunks that stop short": func(write func([]byte) bool) {
			ok := write(chunked)
			for sent := 0; ok && sent < bodyBytes-1; sent += chunkBytes {
				ok = write(chunk(min(chunkBytes, bodyBytes-1-sent)))
			}
		},
		"chunks of one byte that stop short": func(write func([]byte) bool) {
			ok := write(chunked)
			tiny := bytes.Repeat(chunk(1), pieceBytes)
			for sent := 0; ok && sent < bodyBytes-pieceBytes; sent += pieceBytes {
				ok = write(tiny)
			}
		},
		"bodies announced over the limit": func(write func([]byte) bool) {
			ok := write(g.header(fmt.Sprintf("Content-Length: %d", announcedBytes)))
			for sent := 0; ok && sent < overBytes; sent += chunkBytes {
				ok = write(text(chunkBytes))
			}
		},
		"bodies sent over the limit": func(write func([]byte) bool) {
			ok := write(chunked)
			for sent := 0; ok && sent < overBytes; sent += chunkBytes {
				ok = write(chunk(chunkBytes))
			}
		},
	}
}

// connectionClients returns the kinds of clients that hold connections without a body.
func connectionClients(g target) map[string]client {
	return map[string]client{
		"connections without a request": func(func([]byte) bool) {},
		"headers that stop short":       func(write func([]byte) bool) { write(g.header("X: y")[:40]) },
		"bodies that never begin": func(write func([]byte) bool) {
			write(g.header(fmt.Sprintf("Content-Length: %d", bodyBytes)))
		},
	}
}

// text returns a part of a JSON string that is legal anywhere in it.
func text(n int) []byte { return []byte(strings.Repeat("x", n)) }

func chunk(n int) []byte { return fmt.Appendf(nil, "%x\r\n%s\r\n", n, text(n)) }

const (
	frameData, frameHeaders, frameSettings = 0, 1, 4
	flagEndHeaders                         = 4
)

// frame returns a frame of HTTP/2.
func frame(kind, flags byte, stream uint32, payload []byte) []byte {
	f := []byte{byte(len(payload) >> 16), byte(len(payload) >> 8), byte(len(payload)), kind, flags}
	return append(binary.BigEndian.AppendUint32(f, stream), payload...)
}

// callStart returns the beginning of a call of a gRPC method with a message of a given size.
func callStart(method string, size uint32) []byte {
	start := append([]byte("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"), frame(frameSettings, 0, 0, nil)...)
	start = append(start, frame(frameHeaders, flagEndHeaders, 1, callBlock(method))...)
	return append(start, frame(frameData, 0, 1, binary.BigEndian.AppendUint32([]byte{0}, size))...)
}

// messageClients returns the kinds of clients that attack a gRPC server.
func messageClients(method string) map[string]client {
	return map[string]client{
		"messages that stop short": func(write func([]byte) bool) {
			ok := write(callStart(method, messageBytes))
			for sent := 0; ok && sent < messageSentBytes; sent += frameBytes {
				ok = write(frame(frameData, 0, 1, text(frameBytes)))
			}
		},
		"messages in frames of one byte": func(write func([]byte) bool) {
			if write(callStart(method, messageBytes)) {
				write(bytes.Repeat(frame(frameData, 0, 1, text(1)), smallFrames))
			}
		},
		"messages announced over the limit": func(write func([]byte) bool) {
			ok := write(callStart(method, announcedBytes))
			for sent := 0; ok && sent < messageSentBytes; sent += frameBytes {
				ok = write(frame(frameData, 0, 1, text(frameBytes)))
			}
		},
		"connections without a request": func(func([]byte) bool) {},
	}
}

// attack has a crowd of clients connect and send. It returns when all have sent everything or
// have failed, and leaves open the connections that the server has not closed.
func attack(t *testing.T, address string, crowd int, c client) {
	t.Helper()
	var all sync.WaitGroup
	for range crowd {
		all.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), stuckWriteTimeout)
			defer cancel()
			conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
			if err != nil {
				return // A server that accepts no more connections is not attacked by this client.
			}
			t.Cleanup(func() { conn.Close() })
			c(func(p []byte) bool {
				if conn.SetWriteDeadline(time.Now().Add(stuckWriteTimeout)) != nil {
					return false
				}
				_, err := conn.Write(p)
				return err == nil
			})
		})
	}
	all.Wait()
}
