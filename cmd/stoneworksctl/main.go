// Command stoneworksctl is the operators' command line.
package main

import (
	"os"

	"github.com/stoneworks/stoneworks/pkg/ctl"
)

func main() {
	os.Exit(ctl.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
