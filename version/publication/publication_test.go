package publication_test

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/corianderhook/corianderhook/version/publication"
)

func change(id, file string, base uint64, text string) []byte {
	raw, err := json.Marshal(publication.Record{Change: &publication.Change{ID: id, File: file, Base: base, Author: "op", Text: text}})
	if err != nil {
		panic(err)
	}
	return raw
}

func TestConflictingChangeIsRejected(t *testing.T) {
	is := is.New(t)
	p := publication.New()
	is.True(p.Apply(0, change("1", "50.ini", 0, "[kind a]\n")).Accepted)
	is.True(p.Apply(1, change("2", "50.ini", 1, "[kind b]\n")).Accepted)
	lost := p.Apply(2, change("3", "50.ini", 1, "[kind c]\n"))
	is.True(!lost.Accepted)
	is.True(strings.Contains(lost.Reason, `replaces version 1 of file "50.ini", and version 2 by op is in force`))
	is.True(!p.Apply(3, change("2", "50.ini", 2, "[kind b]\n")).Accepted) // the same change again
	is.Equal(p.State().Files["50.ini"].Text, "[kind b]\n")
}

func TestInvalidChangeIsRejected(t *testing.T) {
	is := is.New(t)
	p := publication.New()
	for i, c := range []struct{ file, text, want string }{
		{"50.ini", "[kind a]\nweight = 0\n", `weight = "0"`},
		{"50.ini", "[entry]\nlisten = 127.0.0.1:1\n", "cannot be published"},
		{"50.txt", "[kind a]\n", "must end in .ini"},
		{"../50.ini", "[kind a]\n", "no path"},
	} {
		v := p.Apply(uint64(i), change(fmt.Sprint(i), c.file, 0, c.text))
		is.True(!v.Accepted)
		is.True(strings.Contains(v.Reason, c.want))
	}
	is.Equal(p.State().Version, uint64(0))
}

// TestNothingReverts lets readers read with repeats, from a cut beginning, and
// from peers, and checks that versions only grow and that all agree in the end.
func TestVersionsNeverDecrease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		whole := publication.New()
		var records [][]byte
		for i := range rapid.IntRange(1, 40).Draw(t, "records") {
			if rapid.IntRange(0, 5).Draw(t, "snapshot") == 0 {
				state := whole.State()
				raw, err := json.Marshal(publication.Record{Snapshot: &state})
				if err != nil {
					t.Fatal(err)
				}
				records = append(records, raw)
			} else {
				file := fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "file"), ".ini")
				base := uint64(rapid.IntRange(0, 4).Draw(t, "base"))
				records = append(records, change(fmt.Sprint(i), file, base, fmt.Sprintf("[kind k]\nweight = %d\n", i)))
			}
			whole.Apply(uint64(i), records[i])
		}
		first := rapid.IntRange(0, len(records)-1).Draw(t, "first")
		reader := publication.New()
		seen := map[string]uint64{}
		for i := first; i < len(records); {
			if next := int(reader.Next()); next > i {
				i = next
				continue
			}
			switch rapid.IntRange(0, 3).Draw(t, "how") {
			case 0: // a repeat
				k := rapid.IntRange(0, i).Draw(t, "repeat")
				if k >= int(reader.Next()) {
					continue
				}
				reader.Apply(uint64(k), records[k])
			case 1: // a peer that has read further, or less
				peer := publication.New()
				upTo := rapid.IntRange(first, len(records)).Draw(t, "peer")
				for k := range upTo {
					peer.Apply(uint64(k), records[k])
				}
				reader.Restore(peer.State())
			default:
				reader.Apply(uint64(i), records[i])
				i++
			}
			for name, f := range reader.State().Files {
				if f.Version < seen[name] {
					t.Fatalf("file %s went back from version %d to %d", name, seen[name], f.Version)
				}
				seen[name] = f.Version
			}
		}
		reader.Restore(whole.State())
		if !reflect.DeepEqual(reader.State().Files, whole.State().Files) {
			t.Fatalf("readers differ: %v and %v", reader.State().Files, whole.State().Files)
		}
	})
}
