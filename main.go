// Corianderhook dispatches jobs of short tasks to endpoints. The commands are
// in package commands.
package main

import (
	"os"

	"github.com/corianderhook/corianderhook/commands"
)

func main() {
	os.Exit(commands.Main(os.Args[1:], os.Stdout, os.Stderr))
}
