// Command stoneworksd-control is the daemon with one mechanism switched off,
// named by STONEWORKS_CONTROL. It exists to show that a proof can fail.
package main

import (
	"os"

	"github.com/stoneworks/stoneworks/pkg/daemon"
	"github.com/stoneworks/stoneworks/test/control"
)

func main() {
	os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr, control.Controls[os.Getenv("STONEWORKS_CONTROL")]))
}
