package sites

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// siteFile is a site file with just the keys that the variants change.
const siteFile = `machines = [
  { class = "front", cpu_share = 0.32, link_mbps = 1000.0, zone = "brum-digbeth", count = 3, spare = 1 },
]
services = [
  { name = "shop", servers = [{ zone = "brum-digbeth", count = 1 }, { zone = "leics-a", count = 5 }], queue = 15, speeds = [], warm_keeps = 49 },
]
classes = [
  { work_ms = { mean = 360.0, spread = 0.15 }, skew = 0.2, warm_gain = 0.7 },
  { work_ms = { mean = 480.0, spread = 0.15 } },
  { work_ms = { mean = 252.0, spread = 0.15 } },
]
cross_region_ms = 20.0
`

func TestEachVariantChangesWhatItSays(t *testing.T) {
	names := map[string]bool{}
	for _, v := range Variants {
		is := is.New(t)
		text, err := v.Apply(siteFile)
		is.NoErr(err)
		is.True(text != siteFile)
		is.True(!names[v.Name])
		names[v.Name] = true
	}
	is := is.New(t)
	is.True(len(names) >= 6)
	text, err := Variants[0].Apply(siteFile)
	is.NoErr(err)
	is.True(strings.Contains(text, "warm_keeps = 6 "))
	is.True(strings.Contains(text, "cross_region_ms = 60.0"))
}

func TestVariantThatChangesNothingIsAnError(t *testing.T) {
	_, err := Variants[0].Apply("name = 1\n")
	var unchanged *UnchangedError
	is.New(t).True(errors.As(err, &unchanged))
}

func TestVariantsAreWrittenWithWhatTheyName(t *testing.T) {
	is := is.New(t)
	from, to := t.TempDir(), filepath.Join(t.TempDir(), "new")
	is.NoErr(os.WriteFile(filepath.Join(from, "site.toml"), []byte(siteFile), 0o600))
	is.NoErr(os.WriteFile(filepath.Join(from, "wire.json"), []byte("{}"), 0o600))
	paths, err := Write(filepath.Join(from, "site.toml"), to)
	is.NoErr(err)
	is.Equal(len(paths), len(Variants))
	for _, path := range append(paths, filepath.Join(to, "wire.json")) {
		_, err := os.Stat(path)
		is.NoErr(err)
	}
}
