// Command stoneworks-standin runs simple implementations of the platform and of backend servers,
// for tests and the demo; see package standin.
package main

import (
	"os"

	"github.com/stoneworks/stoneworks/test/standin"
)

func main() {
	os.Exit(standin.Main(os.Args[1:], os.Stdout, os.Stderr))
}
