// Command stoneworks-soak injects seeded faults into boxes that run as separate processes; see
// package soak.
package main

import (
	"os"

	"github.com/stoneworks/stoneworks/test/soak"
)

func main() {
	os.Exit(soak.Main(os.Args[1:], os.Stdout, os.Stderr))
}
