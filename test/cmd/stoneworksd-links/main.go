// Command stoneworksd-links is the daemon with links that a test can cut. The file that the
// environment variable STONEWORKS_LINKS names holds the name of the cut, see machines.Cuts, and the
// IP addresses that the links are cut to, separated by spaces. Without addresses the links to all
// backend servers are cut; without the file the links work. Open connections to other boxes are cut
// only if the environment variable STONEWORKS_CUT_BOXES is set.
package main

import (
	"os"
	"slices"
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
	isStore := func(address string) bool { return address == n.Settings.Platform.Address }
	links := &machines.Links{Connect: n.Connect, IsServer: func(address string) bool {
		return !isStore(address) && !strings.HasSuffix(address, ":8102")
	}}
	if os.Getenv("STONEWORKS_CUT_BOXES") != "" {
		links.BreaksOpen = func(address string) bool { return !isStore(address) }
	}
	n.Connect = links.Dial
	go followFile(links, os.Getenv("STONEWORKS_LINKS"))
}

func followFile(links *machines.Links, path string) {
	last := ""
	for {
		text, err := os.ReadFile(path)
		if err != nil {
			text = nil // no file, no cut
		}
		if string(text) != last {
			last = string(text)
			setLinks(links, strings.Fields(last))
		}
		time.Sleep(readEvery)
	}
}

// setLinks cuts the links as the words of the file say.
func setLinks(links *machines.Links, words []string) {
	switch len(words) {
	case 0:
		links.Set(machines.NotCut, nil)
	case 1:
		links.Set(machines.Cuts[words[0]], nil)
	default:
		links.Set(machines.Cuts[words[0]], func(address string) bool {
			host, _, _ := strings.Cut(address, ":")
			return slices.Contains(words[1:], host)
		})
	}
}
