package machines

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/stoneworks/stoneworks/pkg/ctl"
)

// TestOperatorsSeeTheFleet checks that one box reports all boxes by zone, and also one that has
// stopped.
func TestOperatorsSeeTheFleet(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 6, "east-a.1")
	eventually(t, "the boxes know each other", func() bool { return f.Boxes[0].Members.Count() == 6 })
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
	eventually(t, "a stopped box is shown as silent", func() bool { return strings.Contains(show(), "box-6") })
}
