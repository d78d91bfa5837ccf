package machines

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/stoneworks/stoneworks/pkg/ctl"
)

// TestOperatorsSeeTheFleet: one box tells of all, by zone, and of one that has ended.
func TestOperatorsSeeTheFleet(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 6, "east-a.1")
	eventually(t, "they know each other", func() bool { return f.Boxes[0].Members.Count() == 6 })
	show := func() string {
		var out, problems strings.Builder
		is.Equal(ctl.Main([]string{"fleet", f.Boxes[0].Settings.Listen.Admin}, nil, &out, &problems), ctl.ExitOK)
		return out.String()
	}
	is.True(strings.Contains(show(), "as box-1 knows it"))
	for _, z := range Zones {
		is.True(strings.Contains(show(), z.Zone))
	}
	f.Boxes[5].Stop()
	eventually(t, "a box that ended is told as silent", func() bool { return strings.Contains(show(), "box-6") })
}
