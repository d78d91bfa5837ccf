// Command stoneworks-standin runs stand-ins of the platform and of backend
// servers, for tests and the demo.
package main

import (
	"os"

	"github.com/stoneworks/stoneworks/test/standin"
)

func main() {
	os.Exit(standin.Main(os.Args[1:], os.Stdout, os.Stderr))
}
