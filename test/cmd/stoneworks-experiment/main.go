// Command stoneworks-experiment compares two sets of figures of policy on the
// same seeded load; see package experiment.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/stoneworks/stoneworks/test/experiment"
	"github.com/stoneworks/stoneworks/test/machines"
)

// networks is the loopback network that plays take their addresses from.
const networks = "127.96"

func main() {
	a := flag.String("a", "", "figures of side A, such as full_fill=3,hot_share=1; defaults for the others")
	b := flag.String("b", "", "figures of side B")
	seed := flag.Uint64("seed", 1, "the first seed")
	seeds := flag.Int("seeds", 3, "how many seeds")
	length := flag.Duration("for", 9*time.Second, "how long each play lasts")
	keys := flag.Int("keys", 60, "how many keys there are")
	skew := flag.Float64("skew", 0.2, "how unlike the keys' shares are; 0 for equal")
	memory := flag.Int("memory", 40, "how many keys a server remembers")
	gain := flag.Float64("gain", 0.7, "which part of its work a server is spared for a key it remembers")
	refuse := flag.Float64("refuse", 0, "which part of the requests is refused in the last third")
	unlike := flag.Bool("unlike", false, "servers of unlike speed")
	target := flag.Duration("target", 80*time.Millisecond, "the time within which an answer is in time")
	flag.Parse()
	plan := &experiment.Plan{
		Length: *length, Keys: *keys, Skew: *skew, Refuse: *refuse, Unlike: *unlike, Target: *target,
		Nature: machines.Performance{Memory: *memory, Gain: *gain},
	}
	for i := range *seeds {
		plan.Seeds = append(plan.Seeds, *seed+uint64(i))
	}
	if err := run(plan, *a, *b); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(plan *experiment.Plan, a, b string) error {
	left, err := experiment.ParsePolicy(a)
	if err != nil {
		return err
	}
	right, err := experiment.ParsePolicy(b)
	if err != nil {
		return err
	}
	pairs, err := plan.Run(networks, left, right)
	if err != nil {
		return err
	}
	return experiment.Print(os.Stdout, pairs)
}
