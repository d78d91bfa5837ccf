// Command stoneworks-demo runs a whole deployment for a short while and checks
// every answer.
package main

import (
	"os"

	"github.com/stoneworks/stoneworks/test/demo"
)

func main() {
	os.Exit(demo.Main(os.Args[1:], os.Stdout, os.Stderr))
}
