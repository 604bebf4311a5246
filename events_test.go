package main

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// The catalogue of events and the code name the same events, each number once.
func TestEventsAreInTheCatalogue(t *testing.T) {
	catalogue, err := os.ReadFile(filepath.Join("docs", "events.md"))
	if err != nil {
		t.Fatal(err)
	}
	listed := map[string]string{}
	for _, row := range regexp.MustCompile(`(?m)^\| (CH\d{4}) \| (.*?) \|`).FindAllStringSubmatch(string(catalogue), -1) {
		if _, twice := listed[row[1]]; twice {
			t.Errorf("%s stands twice in docs/events.md", row[1])
		}
		listed[row[1]] = row[2]
	}
	used := eventsInCode(t)
	for number, text := range used {
		if listed[number] != text {
			t.Errorf("the code says %s %q, docs/events.md says %q", number, text, listed[number])
		}
	}
	for number := range listed {
		if _, known := used[number]; !known {
			t.Errorf("%s is listed and not used", number)
		}
	}
}

func eventsInCode(t *testing.T) map[string]string {
	t.Helper()
	used := map[string]string{}
	event := regexp.MustCompile(`"(CH\d{4}) ([^"]*?)\\?"`)
	err := filepath.WalkDir(".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && (entry.Name() == "target" || entry.Name() == "journal" || strings.HasPrefix(entry.Name(), ".") && len(entry.Name()) > 1) {
			return filepath.SkipDir
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, found := range event.FindAllStringSubmatch(string(text), -1) {
			if former, known := used[found[1]]; known && former != found[2] {
				t.Errorf("%s: %s means %q and %q", path, found[1], former, found[2])
			}
			used[found[1]] = found[2]
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return used
}
