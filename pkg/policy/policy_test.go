package policy

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestDefaultsAreWithinTheirBounds(t *testing.T) {
	is := is.New(t)
	p := Default()
	is.Equal(len(p.Check()), 0)
}

// TestEachParameterIsDescribed: a field without a name, unit or bounds could not be set, or
// not be checked.
func TestEachParameterIsDescribed(t *testing.T) {
	kind := reflect.TypeFor[Policy]()
	names := map[string]bool{}
	for i := range kind.NumField() {
		f := kind.Field(i)
		for _, tag := range []string{"yaml", "unit", "least", "most"} {
			if f.Tag.Get(tag) == "" {
				t.Errorf("%s has no %s", f.Name, tag)
			}
		}
		if names[f.Tag.Get("yaml")] {
			t.Errorf("%s occurs twice", f.Tag.Get("yaml"))
		}
		names[f.Tag.Get("yaml")] = true
	}
	p := Default()
	if len(p.Parameters()) != kind.NumField() {
		t.Errorf("%d of %d parameters are listed", len(p.Parameters()), kind.NumField())
	}
}

func TestCheckReturnsAllFaults(t *testing.T) {
	is := is.New(t)
	p := Default()
	p.SpeedAnswers = 0
	p.FullFill = -1
	p.LoadFades = p.LoadHolds
	p.SlowRest = 100 * time.Hour
	faults := p.Check()
	names := make([]string, 0, len(faults))
	for _, f := range faults {
		names = append(names, f.Name)
	}
	is.Equal(strings.Join(names, " "), "full_fill speed_answers slow_rest load_fades")
	is.Equal(faults[0].Allowed, "0.5 to 100 (of its slots)")
}
