// Command stoneworks-experiment compares two sets of policy parameters on the same seeded load;
// see package experiment.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/stoneworks/stoneworks/test/experiment"
	"github.com/stoneworks/stoneworks/test/machines"
)

// networkPrefix is the first two octets of the loopback networks that the runs reserve.
const networkPrefix = "127.96"

func main() {
	a := flag.String("a", "", "policy parameters of side A, such as full_fill=3,hot_share=1; the others have their defaults")
	b := flag.String("b", "", "policy parameters of side B")
	seed := flag.Uint64("seed", 1, "the first seed")
	seeds := flag.Int("seeds", 3, "number of seeds")
	length := flag.Duration("for", 9*time.Second, "length of each run")
	keys := flag.Int("keys", 60, "number of affinity keys")
	skew := flag.Float64("skew", 0.2, "exponent of the keys' Zipf distribution; 0 for equal shares")
	memory := flag.Int("memory", 40, "number of keys that a server keeps warm")
	gain := flag.Float64("gain", 0.7, "share of its work that a server saves for a warm key")
	refuse := flag.Float64("refuse", 0, "share of the requests that servers refuse in the last third")
	unlike := flag.Bool("unlike", false, "servers differ in speed")
	target := flag.Duration("target", 80*time.Millisecond, "time within which an answer counts as in time")
	flag.Parse()
	plan := &experiment.Plan{
		Length: *length, Keys: *keys, Skew: *skew, RefuseShare: *refuse, MixedSpeeds: *unlike, Target: *target,
		Performance: machines.Performance{Memory: *memory, Gain: *gain},
	}
	for i := range *seeds {
		plan.Seeds = append(plan.Seeds, *seed+uint64(i))
	}
	if err := run(plan, *a, *b); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run parses the parameters of both sides, runs the plan and prints the comparison.
func run(plan *experiment.Plan, a, b string) error {
	left, err := experiment.ParsePolicy(a)
	if err != nil {
		return err
	}
	right, err := experiment.ParsePolicy(b)
	if err != nil {
		return err
	}
	pairs, err := plan.Run(networkPrefix, left, right)
	if err != nil {
		return err
	}
	return experiment.Print(os.Stdout, pairs)
}
