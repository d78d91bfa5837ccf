// Command stoneworks-machines runs a deployment in the shape of the users'
// machines as separate processes, plays a seeded load, and prints a table.
package main

import (
	"os"

	"github.com/stoneworks/stoneworks/test/load"
)

func main() {
	os.Exit(load.Main(os.Args[1:], os.Stdout, os.Stderr))
}
