package node

import (
	"math/rand"
	"testing"

	"github.com/matryer/is"
)

// TestJudgesAreFewAndTheSame: of fleets of any size the same few boxes judge, in whatever order
// boxes know them, so that what a box sends them does not grow with the fleet.
func TestJudgesAreFewAndTheSame(t *testing.T) {
	is := is.New(t)
	for _, boxes := range []int{1, 5, 30, 300, 3000} {
		random := rand.New(rand.NewSource(int64(boxes)))
		choose := func() (list []judge) {
			for _, rank := range random.Perm(boxes) {
				list = addJudge(list, judge{rank: uint64(rank)})
			}
			return list
		}
		first := choose()
		is.Equal(len(first), min(boxes, maxJudges))
		for i := range first {
			is.Equal(first[i].rank, uint64(i))
		}
		is.Equal(choose(), first)
	}
}
