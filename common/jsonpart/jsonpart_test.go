package jsonpart_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/corianderhook/corianderhook/common/jsonpart"
)

func ExamplePart_Members() {
	for name, value := range jsonpart.Part(`{"kind": "a,b", "tasks": [{"x": 1}, {"y": "]"}]}`).Members() {
		fmt.Printf("%s = %s\n", name, value)
		for e := range value.Elements() {
			fmt.Printf("  %s\n", e)
		}
	}
	// Output:
	// "kind" = "a,b"
	// "tasks" = [{"x": 1}, {"y": "]"}]
	//   {"x": 1}
	//   {"y": "]"}
}

func TestPartsThatHoldNothing(t *testing.T) {
	i := is.New(t)
	for _, text := range []string{`[]`, ` [ ] `, `{}`, `1`, `"a"`, `null`, ``} {
		for range jsonpart.Part(text).Elements() {
			t.Errorf("%q has an element", text)
		}
		for range jsonpart.Part(text).Members() {
			t.Errorf("%q has a member", text)
		}
	}
	i.True(jsonpart.Part(`null`).IsNull())
	i.True(jsonpart.Part(`[]`).IsList() && !jsonpart.Part(`{}`).IsList())
	i.True(jsonpart.Part(`{}`).IsObject() && !jsonpart.Part(``).IsObject())
}

// FuzzPart checks that the parts of a valid text are those that a decoder finds.
func FuzzPart(f *testing.F) {
	f.Add(`{"a":{"b":[1,2,"\\\"]}"]},"c":"}"}`)
	f.Add(`[[],{},"\\",[[1]], null ]`)
	f.Fuzz(func(t *testing.T, text string) {
		if !json.Valid([]byte(text)) {
			return
		}
		var list []json.RawMessage
		if json.Unmarshal([]byte(text), &list) == nil {
			count := 0
			for e := range jsonpart.Part(text).Elements() {
				if string(e) != string(list[count]) {
					t.Fatalf("element %d of %q is %q, not %q", count, text, e, list[count])
				}
				count++
			}
			if count != len(list) {
				t.Fatalf("%q has %d elements, not %d", text, count, len(list))
			}
		}
		var object map[string]json.RawMessage
		if json.Unmarshal([]byte(text), &object) == nil {
			last := map[string]string{}
			for name, value := range jsonpart.Part(text).Members() {
				var key string
				if err := json.Unmarshal(name, &key); err != nil {
					t.Fatal(err)
				}
				last[key] = string(value)
			}
			if len(last) != len(object) {
				t.Fatalf("%q has the members %q", text, last)
			}
			for key, value := range object {
				if last[key] != string(value) {
					t.Fatalf("member %q of %q is %q, not %q", key, text, last[key], value)
				}
			}
		}
	})
}
