package hostile

import (
	"bytes"
	"encoding/binary"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/corianderhook/corianderhook/wire"
)

// openStreams is the number of calls that a client begins on its connection.
const openStreams = 1000

// callBlock returns the header block of a call of a gRPC method.
func callBlock(method string) []byte {
	var block []byte
	for _, h := range [][2]string{{":method", "POST"}, {":scheme", "http"}, {":path", method}, {":authority", "x"}, {"content-type", "application/grpc"}, {"te", "trailers"}} {
		block = append(block, 0, byte(len(h[0])))
		block = append(append(block, h[0]...), byte(len(h[1])))
		block = append(block, h[1]...)
	}
	return block
}

// streamClient returns a client that begins calls and does not end them, each with a message if that
// is not nil.
func streamClient(method string, message []byte) client {
	return func(write func([]byte) bool) {
		var all bytes.Buffer
		all.WriteString("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")
		all.Write(frame(frameSettings, 0, 0, nil))
		for n := range uint32(openStreams) {
			all.Write(frame(frameHeaders, flagEndHeaders, 2*n+1, callBlock(method)))
			if message != nil {
				all.Write(frame(frameData, 0, 2*n+1, append(binary.BigEndian.AppendUint32([]byte{0}, uint32(len(message))), message...)))
			}
		}
		write(all.Bytes())
	}
}

func TestDispatcherOutlivesManyStreams(t *testing.T) {
	const service = "/corianderhook.wire.Dispatcher/"
	for kind, c := range map[string]client{
		"calls that never begin":             streamClient(service+"Exchange", nil),
		"sessions that never begin":          streamClient(service+"Work", nil),
		"sessions of sidecars without names": streamClient(service+"Work", []byte{}),
		// A frame with a hello that holds a name.
		"sessions of sidecars": streamClient(service+"Work", helloFrame()),
	} {
		t.Run(kind, func(t *testing.T) { startPlatform(t, descriptors).play(t, "processes", c, probe{}) })
	}
}

func TestEntryOutlivesManyStreams(t *testing.T) {
	const service = "/corianderhook.wire.Entry/"
	for kind, c := range map[string]client{
		"calls that never begin": streamClient(service+"Submit", nil),
		"heartbeats":             streamClient(service+"Peer", []byte{}),
	} {
		t.Run(kind, func(t *testing.T) { startProduct(t, descriptors).play(t, "processes", c, probe{}) })
	}
}

func helloFrame() []byte {
	text, err := proto.Marshal(&wire.SidecarFrame{Hello: &wire.SidecarHello{Name: "hostile"}})
	if err != nil {
		panic(err)
	}
	return text
}
