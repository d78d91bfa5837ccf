// Command stoneworks-machines runs a deployment like that of the users' machines as separate
// processes, sends it a seeded load and prints a table of the results; see package load.
package main

import (
	"os"

	"github.com/stoneworks/stoneworks/test/load"
)

func main() {
	os.Exit(load.Main(os.Args[1:], os.Stdout, os.Stderr))
}
