// Command stoneworks-bench measures a deployment and prints MEASURE lines.
package main

import (
	"os"

	"github.com/stoneworks/stoneworks/test/bench"
)

func main() {
	os.Exit(bench.Main(os.Args[1:], os.Stdout, os.Stderr))
}
