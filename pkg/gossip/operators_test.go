package gossip

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/stoneworks/stoneworks/pkg/objects"
)

// TestFleetOfAThousandFitsAScreen checks that an overview counts all boxes and has one line
// per zone.
func TestFleetOfAThousandFitsAScreen(t *testing.T) {
	is := is.New(t)
	table, _ := newLargeTable(1000, 9)
	table.Update(func(self *Record) { self.Versions = map[string]objects.Version{"servers": {Revision: 9}} })
	behind := table.members["box-9"].Record
	behind.Sequence, behind.Serving, behind.StoreHealthy = 99, true, true
	behind.Versions = map[string]objects.Version{"servers": {Revision: 7}}
	table.Receive(&Message{From: behind})
	zones := table.Overview("servers")
	boxes := 0
	for _, z := range zones {
		boxes += z.Boxes
		is.Equal(z.Live, z.Boxes)
	}
	is.Equal(boxes, 1000)
	own := zones[0]
	is.Equal(own.Serving, 1)
	is.Equal(own.Asking, []string{"box-9"})
	is.Equal(own.Behind, 1)
	is.Equal(own.Slowest, "box-9")
	var out strings.Builder
	is.NoErr(PrintFleet(&out, []FleetBox{{Box: "box-0", Zones: zones}}))
	is.True(strings.Count(out.String(), "\n") <= 24)
	for _, line := range strings.Split(out.String(), "\n") {
		is.True(len(line) <= 140)
	}
}
