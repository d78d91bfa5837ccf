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
)

// ciSeed is played by every test run; the others are in seeds.txt.
const (
	ciSeed   = 20261202
	ciBoxes  = 4
	ciLength = 7 * time.Second
)

// build puts the daemon into a folder of the test's own.
func build(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	out, err := exec.Command("go", "build", "-o", filepath.Join(dir, "stoneworksd"), "../../cmd/stoneworksd").CombinedOutput()
	if err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return dir
}

func playSeed(t *testing.T, bin string, plan *Plan) []Violation {
	t.Helper()
	found, err := Run(Options{Bin: bin, Dir: t.TempDir(), Network: "127.95.0", Plan: plan, Out: os.Stderr})
	is.New(t).NoErr(err)
	return found
}

// TestSoak plays a short seeded run, and those of seeds.txt that are marked
// for it.
func TestSoak(t *testing.T) {
	is := is.New(t)
	bin := build(t)
	is.Equal(playSeed(t, bin, NewPlan(ciSeed, ciBoxes, ciLength)), nil)
	for _, seed := range keptSeeds(t) {
		is.Equal(playSeed(t, bin, NewPlan(seed, ciBoxes, ciLength)), nil)
	}
}

// keptSeeds reads the seeds that ever failed: a number and its cause a line.
func keptSeeds(t *testing.T) []int64 {
	t.Helper()
	file, err := os.Open("seeds.txt")
	is.New(t).NoErr(err)
	defer func() { _ = file.Close() }()
	var seeds []int64
	for lines := bufio.NewScanner(file); lines.Scan(); {
		number, _, _ := strings.Cut(lines.Text(), " ")
		if number == "" || number == "#" {
			continue
		}
		seed, err := strconv.ParseInt(number, 10, 64)
		is.New(t).NoErr(err)
		seeds = append(seeds, seed)
	}
	return seeds
}
