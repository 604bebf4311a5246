package main

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// Every test named in docs/promises.md and docs/soak.md must exist.
func TestPagesNameTestsThatExist(t *testing.T) {
	known := map[string]bool{}
	function := regexp.MustCompile(`(?m)^func (Test[A-Z]\w*)\(`)
	err := filepath.WalkDir(".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		for _, found := range function.FindAllStringSubmatch(string(text), -1) {
			known[found[1]] = true
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, page := range []string{"promises.md", "soak.md"} {
		text, err := os.ReadFile(filepath.Join("docs", page))
		if err != nil {
			t.Fatal(err)
		}
		names := regexp.MustCompile(`Test[A-Z]\w*`).FindAllString(string(text), -1)
		if len(names) == 0 {
			t.Errorf("docs/%s names no test", page)
		}
		for _, name := range names {
			if !known[name] {
				t.Errorf("docs/%s names %s, which does not exist", page, name)
			}
		}
	}
}
