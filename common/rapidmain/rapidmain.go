// Package rapidmain runs property tests with a fixed seed, so that every run has the same
// result. Another seed can be given on the command line.
package rapidmain

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"testing"
)

// defaultSeed is the seed unless -rapid.seed is given.
const defaultSeed = "20261204"

// Main runs the tests of a package, with the given number of checks for each property unless
// -rapid.checks is given, and exits.
func Main(m *testing.M, checks int) {
	flag.Parse()
	setFlags := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { setFlags[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": defaultSeed, "rapid.checks": strconv.Itoa(checks)} {
		if setFlags[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
	}
	os.Exit(m.Run())
}
