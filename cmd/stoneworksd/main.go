// Command stoneworksd is the daemon that runs on every box.
package main

import (
	"os"

	"github.com/stoneworks/stoneworks/pkg/daemon"
)

func main() {
	os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr))
}
