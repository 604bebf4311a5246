package main

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// The event catalogue must list exactly the events of the code, with the same texts and each
// number once.
func TestEventsAreInTheCatalogue(t *testing.T) {
	catalogue, err := os.ReadFile(filepath.Join("docs", "events.md"))
	if err != nil {
		t.Fatal(err)
	}
	listed := map[string]string{}
	for _, row := range regexp.MustCompile(`(?m)^\| (CH\d{4}) \| (.*?) \|`).FindAllStringSubmatch(string(catalogue), -1) {
		if _, duplicate := listed[row[1]]; duplicate {
			t.Errorf("%s is listed twice in docs/events.md", row[1])
		}
		listed[row[1]] = row[2]
	}
	used := eventsInCode(t)
	for number, text := range used {
		if listed[number] != text {
			t.Errorf("event %s is %q in the code and %q in docs/events.md", number, text, listed[number])
		}
	}
	for number := range listed {
		if _, known := used[number]; !known {
			t.Errorf("%s is listed in docs/events.md but not used", number)
		}
	}
}

// eventsInCode returns the text of each event number in the code.
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
			if previous, known := used[found[1]]; known && previous != found[2] {
				t.Errorf("%s: %s has the texts %q and %q", path, found[1], previous, found[2])
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
