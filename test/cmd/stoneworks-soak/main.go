// Command stoneworks-soak plays seeded faults against real processes.
package main

import (
	"os"

	"github.com/stoneworks/stoneworks/test/soak"
)

func main() {
	os.Exit(soak.Main(os.Args[1:], os.Stdout, os.Stderr))
}
