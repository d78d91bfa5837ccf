// Command stoneworksd-links is the daemon with links to backend servers that a test can cut. The
// file that the environment variable STONEWORKS_LINKS names holds the name of the cut, see
// machines.Cuts; without the file the links work.
package main

import (
	"os"
	"strings"
	"time"

	"github.com/stoneworks/stoneworks/pkg/daemon"
	"github.com/stoneworks/stoneworks/pkg/node"
	"github.com/stoneworks/stoneworks/test/machines"
)

// readEvery is how often the file is read.
const readEvery = 20 * time.Millisecond

func main() {
	os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr, daemon.Customize{Node: simulateLinks}))
}

// simulateLinks makes the box open connections to servers over links that follow the file. All
// addresses but those of the store and of boxes are servers': boxes listen at fixed ports.
func simulateLinks(n *node.Node) {
	links := &machines.Links{Connect: n.Connect, IsServer: func(address string) bool {
		return address != n.Settings.Platform.Address && !strings.HasSuffix(address, ":8102")
	}}
	n.Connect = links.Dial
	go followFile(links, os.Getenv("STONEWORKS_LINKS"))
}

func followFile(links *machines.Links, path string) {
	last := machines.NotCut
	for {
		text, err := os.ReadFile(path)
		if err != nil {
			text = nil // no file, no cut
		}
		if cut := machines.Cuts[strings.TrimSpace(string(text))]; cut != last {
			links.Set(cut, nil)
			last = cut
		}
		time.Sleep(readEvery)
	}
}
