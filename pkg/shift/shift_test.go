package shift

import (
	"flag"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/stoneworks/stoneworks/pkg/decide"
	"github.com/stoneworks/stoneworks/pkg/model"
)

// init fixes the seed so that every run tests the same cases; -rapid.seed=0 selects a
// new seed for each run.
func init() {
	_ = flag.Set("rapid.seed", "20261202")
}

var regions = []string{"dakar", "saint-louis", "thies"}

func anyRegion(string) bool { return true }

func target(share float64, down string) *Plan {
	s := &model.Service{Name: "preview", Shifts: []model.PlannedShift{{FromRegion: "dakar", ToRegion: "thies", Share: share}}}
	return Target(s, nil, Conditions{ClientRegions: regions, Serving: regions, Usable: func(r string) bool { return r != down }})
}

func TestTargetIsNested(t *testing.T) {
	is := is.New(t)
	small, large := target(0.2, ""), target(0.5, "")
	for bucket := range decide.Buckets {
		if small.Region("dakar", bucket) == "thies" {
			is.Equal(large.Region("dakar", bucket), "thies")
		}
	}
	is.Equal(Distance(target(0, ""), small), 0.2)
}

func TestStepKeepsCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Float64Range(0, 1).Draw(t, "cap")
		from := target(rapid.Float64Range(0, 1).Draw(t, "from"), "")
		to := target(rapid.Float64Range(0, 1).Draw(t, "to"), rapid.SampledFrom([]string{"", "dakar", "thies"}).Draw(t, "down"))
		next := Step("preview", from, to, limit, anyRegion)
		if Distance(from, next) > limit+rounding {
			t.Fatalf("moved %g of %g", Distance(from, next), limit)
		}
	})
}

// TestMigratorKeepsCap applies plans that change at any time: in no window do more than
// the cap's fraction of the buckets change their region.
func TestMigratorKeepsCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Float64Range(0.01, 0.5).Draw(t, "cap")
		window := 10 * time.Second
		now := time.Unix(1_000, 0)
		w := NewMigrator()
		w.Advance(now, "preview", target(0, ""), limit, window)
		type change struct {
			at     time.Time
			weight float64
		}
		var changes []change
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
			for range rapid.IntRange(0, 30).Draw(t, "requests") {
				w.Count("dakar", rapid.IntRange(0, 10).Draw(t, "bucket"))
			}
			before := w.Active()
			after := w.Advance(now, "preview", target(rapid.Float64Range(0, 1).Draw(t, "share"), ""), limit, window)
			changes = append(changes, change{now, Distance(before, after)})
			sum := 0.0
			for _, c := range changes {
				if now.Sub(c.at) < window {
					sum += c.weight
				}
			}
			if sum > limit+rounding {
				t.Fatalf("%g moved within a window, cap %g", sum, limit)
			}
		}
	})
}

func TestMigratorReachesPlan(t *testing.T) {
	is := is.New(t)
	w := NewMigrator()
	now := time.Unix(1_000, 0)
	w.Advance(now, "preview", target(0, ""), 0.1, time.Second)
	steps := 0
	for Distance(w.Active(), target(0.5, "")) > 0 {
		now = now.Add(1200 * time.Millisecond)
		w.Advance(now, "preview", target(0.5, ""), 0.1, time.Second)
		steps++
		is.True(steps <= 5)
	}
}
