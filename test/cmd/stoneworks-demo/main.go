// Command stoneworks-demo runs a whole deployment under load, injects faults and checks every
// answer; see package demo.
package main

import (
	"os"

	"github.com/stoneworks/stoneworks/test/demo"
)

func main() {
	os.Exit(demo.Main(os.Args[1:], os.Stdout, os.Stderr))
}
