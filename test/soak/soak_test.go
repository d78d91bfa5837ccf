package soak

import (
	"bufio"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/stoneworks/stoneworks/test/addresses"
)

// ciSeed is played by every test run, beside the seeds in seeds.txt.
const (
	ciSeed   = 20261202
	ciBoxes  = 4
	ciLength = 7 * time.Second
)

// build builds the daemon into a temporary folder of the test.
func build(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	out, err := exec.Command("go", "build", "-o", filepath.Join(dir, "stoneworksd-links"), "../cmd/stoneworksd-links").CombinedOutput()
	if err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return dir
}

func playSeed(t *testing.T, bin string, plan *Plan) []Violation {
	t.Helper()
	network, err := addresses.Reserve("127.97")
	is.New(t).NoErr(err)
	defer network.Release()
	found, err := Run(Options{Bin: bin, Dir: t.TempDir(), Network: network.Prefix, Plan: plan, Out: os.Stderr})
	is.New(t).NoErr(err)
	return found
}

// TestSoak plays a short run of ciSeed with each catalogue, and the seeds of seeds.txt.
func TestSoak(t *testing.T) {
	is := is.New(t)
	bin := build(t)
	for _, kinds := range Catalogues {
		is.Equal(playSeed(t, bin, NewPlan(kinds, ciSeed, ciBoxes, ciLength)), nil)
	}
	for _, kept := range keptSeeds(t) {
		is.Equal(playSeed(t, bin, NewPlan(kept.kinds, kept.seed, ciBoxes, ciLength)), nil)
	}
}

// keptSeed is a seed that once failed, with its catalogue.
type keptSeed struct {
	seed  int64
	kinds Catalogue
}

// keptSeeds reads seeds.txt, whose lines have a seed that once failed, its catalogue and the
// cause.
func keptSeeds(t *testing.T) []keptSeed {
	t.Helper()
	file, err := os.Open("seeds.txt")
	is.New(t).NoErr(err)
	defer func() { _ = file.Close() }()
	var seeds []keptSeed
	for lines := bufio.NewScanner(file); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) == 0 || fields[0] == "#" {
			continue
		}
		seed, err := strconv.ParseInt(fields[0], 10, 64)
		is.New(t).NoErr(err)
		catalogue, err := strconv.Atoi(fields[1])
		is.New(t).NoErr(err)
		seeds = append(seeds, keptSeed{seed, Catalogues[catalogue-1]})
	}
	return seeds
}
