// Corianderhook dispatches jobs of sub-second tasks to endpoints. Package commands
// implements its command line.
package main

import (
	"os"

	"github.com/corianderhook/corianderhook/commands"
)

func main() {
	os.Exit(commands.Main(os.Args[1:], os.Stdout, os.Stderr))
}
