// Package seeded runs property tests with a fixed seed, so that they have the same
// verdict every time unless the command line names another.
package seeded

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"testing"
)

// seed is the day on which the checks were first run.
const seed = "20261204"

// Main runs the tests of a package with so many checks each; it does not return.
func Main(m *testing.M, checks int) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": seed, "rapid.checks": strconv.Itoa(checks)} {
		if given[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
	}
	os.Exit(m.Run())
}
