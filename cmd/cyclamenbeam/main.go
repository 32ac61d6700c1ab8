// Command cyclamenbeam is the serving system's one binary: the daemon, the
// operators' client and the stand-ins for trying it out.
package main

import (
	"os"

	"github.com/cyclamenbeam/cyclamenbeam/internal/cli"
)

func main() {
	os.Exit(cli.Execute(os.Args[1:], os.Stdout, os.Stderr))
}
