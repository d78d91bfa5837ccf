package experiment

import (
	"errors"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/stoneworks/stoneworks/pkg/policy"
	"github.com/stoneworks/stoneworks/test/machines"
)

func TestFiguresAreReadOverTheDefaults(t *testing.T) {
	is := is.New(t)
	p, err := ParsePolicy("full_fill=3,slow_rest=1s")
	is.NoErr(err)
	want := policy.Default()
	want.FullFill, want.SlowRest = 3, time.Second
	is.Equal(*p, want)
	p, err = ParsePolicy("")
	is.NoErr(err)
	is.Equal(*p, policy.Default())
	for _, bad := range []string{"full_fill", "full_fill=much", "homeward=3", "full_fill=-1"} {
		_, err := ParsePolicy(bad)
		var fault *PolicyError
		is.True(errors.As(err, &fault))
	}
}

func TestMeanHasItsError(t *testing.T) {
	is := is.New(t)
	mean, standardError := meanOf([]float64{0.1, 0.3})
	is.True(math.Abs(mean-0.2) < 1e-9)
	is.True(math.Abs(standardError-0.1) < 1e-9)
}

// TestBothSidesArePlayed: a whole small run, real boxes and servers.
func TestBothSidesArePlayed(t *testing.T) {
	is := is.New(t)
	p := &Plan{
		Seeds: []uint64{7}, Length: 1500 * time.Millisecond, Keys: 20, Skew: 0.2, Refuse: 0.1, Unlike: true,
		Nature: machines.Performance{Memory: 30, Gain: 0.7}, Target: 150 * time.Millisecond,
	}
	a := policy.Default()
	pairs, err := p.Run("127.95", &a, &a)
	is.NoErr(err)
	is.Equal(len(pairs), 1)
	for _, side := range []map[string]Score{pairs[0].A, pairs[0].B} {
		for _, kind := range kinds {
			is.True(side[kind.name].Requests > 50)
			is.True(side[kind.name].InTime > 0)
		}
	}
	var b strings.Builder
	is.NoErr(Print(&b, pairs))
	is.Equal(strings.Count(b.String(), "mean"), len(kinds))
}
