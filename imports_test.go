package main

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// Packages are layered by the lifetime of what they model, from a request to the whole
// system. A package must not import one of a higher layer (docs/architecture.md).
func TestImportsFollowLayerOrder(t *testing.T) {
	const module = "github.com/corianderhook/corianderhook/"
	layers := map[string]int{"common": 0, "wire": 0, "request": 1, "connection": 2, "version": 2, "process": 3, "sharing": 3, "node": 4, "platform": 5, "lab": 6, "commands": 7}
	checked := 0
	err := filepath.WalkDir(".", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		from, _, _ := strings.Cut(filepath.ToSlash(path), "/")
		layer, known := layers[from]
		if !known {
			return nil
		}
		checked++
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		for _, i := range file.Imports {
			name, err := strconv.Unquote(i.Path.Value)
			if err != nil {
				return err
			}
			rest, own := strings.CutPrefix(name, module)
			to, _, _ := strings.Cut(rest, "/")
			if own && layers[to] > layer {
				t.Errorf("%s imports %s of a higher layer", path, rest)
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if checked == 0 {
		t.Error("no file was checked")
	}
}
