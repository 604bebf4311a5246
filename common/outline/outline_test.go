package outline_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/corianderhook/corianderhook/common/outline"
)

func ExampleOf() {
	o := outline.Of([]byte(`{"spec":"a{b\"{","steps":[{"count":1},{"count":2}]}`))
	fmt.Println(o.Objects())
	// Output: 3
}

func TestTextsThatEndInAString(t *testing.T) {
	i := is.New(t)
	for _, text := range []string{``, `"`, `"\`, `"\"`, `{"a`, `{"a\\`, `{"a":"\\"`} {
		i.True(outline.Of([]byte(text)).Objects() <= 1)
	}
	i.Equal(outline.Of([]byte(`{"a":"\\"},{`)).Objects(), 2)
}

type item struct {
	Name   string `json:"name"`
	Counts []int  `json:"counts"`
}

// itemBytes is the size of an item in a list that is copied as it grows.
const itemBytes = 160

// What a decoder allocates for texts that grow the most stays within the memory that is told.
func TestDecodedTextsStayWithinTheirMemory(t *testing.T) {
	const length = 200_000
	for name, part := range map[string]string{
		"objects": `{},`, "numbers": `{"counts":[0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0]},`, "names": `{"name":""},`,
		"invalid characters": "{\"name\":\"\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\"},",
	} {
		t.Run(name, func(t *testing.T) {
			text := []byte("[" + strings.Repeat(part, length/len(part)) + "{}]")
			var before, after runtime.MemStats
			var items []item
			runtime.GC()
			runtime.ReadMemStats(&before)
			if err := json.Unmarshal(text, &items); err != nil {
				t.Fatal(err)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			held := int64(after.HeapAlloc) - int64(before.HeapAlloc) + int64(len(text))
			if told := outline.Of(text).Memory(itemBytes); held > told {
				t.Errorf("%d bytes are held, %d were told", held, told)
			}
			runtime.KeepAlive(items)
		})
	}
}
