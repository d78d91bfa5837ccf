// Command stoneworksd-control is the daemon with one mechanism switched off, which the
// environment variable STONEWORKS_CONTROL names. It serves to check that the tests of the
// promises fail without the mechanism; see package control.
package main

import (
	"os"

	"github.com/stoneworks/stoneworks/pkg/daemon"
	"github.com/stoneworks/stoneworks/test/control"
)

func main() {
	os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr, daemon.Customize{Box: control.Controls[os.Getenv("STONEWORKS_CONTROL")]}))
}
