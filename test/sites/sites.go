// Package sites makes deployments that nobody has tuned for, out of a site
// file of the users' bench: each variant changes what the choice of a server
// might take for granted. The bench plays them like any other site file.
package sites

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
)

// Variant is one changed deployment.
type Variant struct {
	Name string
	// About says what the choice of a server cannot take for granted there.
	About   string
	Changes []Change
}

// Change replaces what a pattern finds, everywhere in the file.
type Change struct {
	Pattern string
	With    string
}

// set changes the value of a key.
func set(key, value string) Change {
	return Change{Pattern: `\b` + key + ` = (\[[^\]]*\]|[-0-9.]+)`, With: key + " = " + value}
}

// Variants lists all changed deployments.
var Variants = []Variant{
	{"short-memory", "servers remember a few keys only, and regions lie far apart", []Change{set("warm_keeps", "6"), set("cross_region_ms", "60.0")}},
	{"long-memory", "servers remember all keys, which pays more", []Change{set("warm_keeps", "1000"), set("warm_gain", "0.9")}},
	{"no-gain", "a server that knows the key is no quicker; servers are of unlike speed", []Change{set("warm_gain", "0"), set("speeds", "[0.7, 1.0, 1.3]"), {`work_ms = \{ mean = 360.0`, `work_ms = { mean = 110.0`}, {`work_ms = \{ mean = 480.0`, `work_ms = { mean = 150.0`}, {`work_ms = \{ mean = 252.0`, `work_ms = { mean = 80.0`}}},
	{"hot-keys", "a few keys take most of the requests", []Change{set("skew", "1.2")}},
	{"no-gain-hot", "no gain, and a few hot keys", []Change{set("warm_gain", "0"), set("skew", "1.2"), {`work_ms = \{ mean = 360.0`, `work_ms = { mean = 110.0`}, {`work_ms = \{ mean = 480.0`, `work_ms = { mean = 150.0`}, {`work_ms = \{ mean = 252.0`, `work_ms = { mean = 80.0`}}},
	{"near-flat", "regions are as near as zones, and all keys alike", []Change{set("cross_region_ms", "2.0"), set("skew", "0")}},
	{"short-queues", "few slots more, hardly any queue", []Change{set("queue", "2")}},
	{"unlike-speeds", "servers of unlike speed", []Change{set("speeds", "[0.6, 1.0, 1.6]")}},
	{"half-processor", "boxes have half of the processor, one box a zone", []Change{set("cpu_share", "0.16"), {`(link_mbps = [0-9.]+, zone = "[^"]*"), count = [0-9]+`, `$1, count = 1`}}},
	{"lone-servers", "a region without servers of a service, and a service of few servers", []Change{{`(\{ zone = "(brum-digbeth|brum-tyseley)"), count = 1`, `$1, count = 0`}}},
}

// UnchangedError says that a variant's pattern finds nothing in the file.
type UnchangedError struct {
	Variant string
	Pattern string
}

// Error implements error.
func (e *UnchangedError) Error() string {
	return fmt.Sprintf("variant %s: nothing matches %s", e.Variant, e.Pattern)
}

// Apply returns the text of the variant. The error is an *UnchangedError.
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

// Write writes all variants of a site file into a directory, with the files
// that the site file names beside it.
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
