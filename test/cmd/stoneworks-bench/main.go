// Command stoneworks-bench measures deployments and prints MEASURE lines; see package bench.
package main

import (
	"os"

	"github.com/stoneworks/stoneworks/test/bench"
)

func main() {
	os.Exit(bench.Main(os.Args[1:], os.Stdout, os.Stderr))
}
