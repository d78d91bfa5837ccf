// Command stoneworks-sites writes variants of a site file; see package sites.
package main

import (
	"flag"
	"fmt"
	"os"

	"github.com/stoneworks/stoneworks/test/sites"
)

func main() {
	site := flag.String("from", "", "site file")
	directory := flag.String("to", "", "directory of the variants, outside of the project")
	flag.Parse()
	if *site == "" || *directory == "" {
		flag.Usage()
		os.Exit(2)
	}
	paths, err := sites.Write(*site, *directory)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	for i, path := range paths {
		fmt.Printf("%s: %s\n", path, sites.Variants[i].About)
	}
}
