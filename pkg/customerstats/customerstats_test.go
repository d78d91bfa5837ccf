package customerstats

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/stoneworks/stoneworks/pkg/customer"
)

func TestSumOverBoxes(t *testing.T) {
	is := is.New(t)
	key := customer.DigestOf("a-secret").String()
	box := func(region string, refused uint32) Box {
		return Box{Region: region, Customers: []Customer{
			{Name: "label", Rate: 40, Burst: 10, Keys: []string{key}, AllowedRegions: []string{"east"}, Arrived: 10, Admitted: 10 - refused, Refused: refused, PerSecond: 1.5, Completed: 8, InTime: 6},
			{Name: "studio", Arrived: 1, Admitted: 1},
		}}
	}
	rows := Sum([]Box{box("east", 4), box("east", 0), box("west", 1)})
	is.Equal(len(rows), 2)
	is.Equal(rows[0].Refused, uint32(5))
	is.Equal(rows[0].Admitted, uint32(25))
	is.Equal(rows[0].Regions["east"].Refused, uint32(4))
	is.Equal(rows[1].Arrived, uint32(3))
	var b strings.Builder
	is.NoErr(Print(&b, rows))
	lines := strings.Split(b.String(), "\n")
	is.True(strings.HasPrefix(lines[1], "label "))
	is.Equal(rows[0].Completed, uint32(24))
	is.True(strings.Contains(b.String(), "worst tenth (1 of 1 customers) since the boxes started: 75% in time"))
	for _, part := range []string{"40/s", "east 4, west 1", key, "4.5", "75%"} {
		is.True(strings.Contains(lines[1], part))
	}
	is.True(strings.Contains(lines[2], "none"))
	is.True(!strings.Contains(b.String(), "a-secret"))
}
