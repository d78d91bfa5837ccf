// Package sites writes variants of a site file of the users' bench, which are deployments that
// the policy is not tuned for. Each variant changes an assumption that the choice of a server
// might rest on. The bench runs them like any other site file.
package sites

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
)

// Variant is a set of changes to a deployment.
type Variant struct {
	Name string
	// About describes the variant in one line, which the program prints.
	About   string
	Changes []Change
}

// Change replaces every match of a regular expression in the file.
type Change struct {
	Pattern string
	With    string
}

// set returns the change of a key to a value, wherever it is a number or a list.
func set(key, value string) Change {
	return Change{Pattern: `\b` + key + ` = (\[[^\]]*\]|[-0-9.]+)`, With: key + " = " + value}
}

// Variants are all variants, in the order in which they are written.
var Variants = []Variant{
	{"short-memory", "servers keep only a few keys warm; regions are far apart", []Change{set("warm_keeps", "6"), set("cross_region_ms", "60.0")}},
	{"long-memory", "servers keep all keys warm; a warm key saves more work", []Change{set("warm_keeps", "1000"), set("warm_gain", "0.9")}},
	{"no-gain", "a warm key saves no work; servers differ in speed", []Change{set("warm_gain", "0"), set("speeds", "[0.7, 1.0, 1.3]"), {`work_ms = \{ mean = 360.0`, `work_ms = { mean = 110.0`}, {`work_ms = \{ mean = 480.0`, `work_ms = { mean = 150.0`}, {`work_ms = \{ mean = 252.0`, `work_ms = { mean = 80.0`}}},
	{"hot-keys", "a few keys take most of the requests", []Change{set("skew", "1.2")}},
	{"no-gain-hot", "a warm key saves no work; a few keys take most of the requests", []Change{set("warm_gain", "0"), set("skew", "1.2"), {`work_ms = \{ mean = 360.0`, `work_ms = { mean = 110.0`}, {`work_ms = \{ mean = 480.0`, `work_ms = { mean = 150.0`}, {`work_ms = \{ mean = 252.0`, `work_ms = { mean = 80.0`}}},
	{"near-flat", "regions are as near as zones; all keys are equally frequent", []Change{set("cross_region_ms", "2.0"), set("skew", "0")}},
	{"short-queues", "servers queue at most two requests", []Change{set("queue", "2")}},
	{"unlike-speeds", "servers differ in speed", []Change{set("speeds", "[0.6, 1.0, 1.6]")}},
	{"half-processor", "boxes have half of the processor time; one box in each zone", []Change{set("cpu_share", "0.16"), {`(link_mbps = [0-9.]+, zone = "[^"]*"), count = [0-9]+`, `$1, count = 1`}}},
	{"lone-servers", "a region without servers of one service; a service with few servers", []Change{{`(\{ zone = "(brum-digbeth|brum-tyseley)"), count = 1`, `$1, count = 0`}}},
}

// UnchangedError is returned when a pattern of a variant matches nothing in the file.
type UnchangedError struct {
	Variant string
	Pattern string
}

// Error implements error.
func (e *UnchangedError) Error() string {
	return fmt.Sprintf("variant %s: nothing in the site file matches %s", e.Variant, e.Pattern)
}

// Apply returns the text of a site file with the changes of the variant. The error is an
// *UnchangedError.
func (v *Variant) Apply(text string) (string, error) {
	for _, c := range v.Changes {
		pattern := regexp.MustCompile(c.Pattern)
		if !pattern.MatchString(text) {
			return "", &UnchangedError{Variant: v.Name, Pattern: c.Pattern}
		}
		text = pattern.ReplaceAllString(text, c.With)
	}
	return text, nil
}

// Write writes all variants of a site file into a directory, with a copy of the file wire.json
// that lies beside the site file. It returns the paths of the variants, in their order.
func Write(site, directory string) ([]string, error) {
	text, err := os.ReadFile(site)
	if err != nil {
		return nil, err
	}
	wire, err := os.ReadFile(filepath.Join(filepath.Dir(site), "wire.json"))
	if err != nil {
		return nil, err
	}
	if err := os.MkdirAll(directory, 0o750); err != nil {
		return nil, err
	}
	if err := os.WriteFile(filepath.Join(directory, "wire.json"), wire, 0o600); err != nil {
		return nil, err
	}
	var paths []string
	base := strings.TrimSuffix(filepath.Base(site), ".toml")
	for i := range Variants {
		v := &Variants[i]
		changed, err := v.Apply(string(text))
		if err != nil {
			return paths, err
		}
		path := filepath.Join(directory, base+"-"+v.Name+".toml")
		if err := os.WriteFile(path, []byte(changed), 0o600); err != nil {
			return paths, err
		}
		paths = append(paths, path)
	}
	return paths, nil
}
