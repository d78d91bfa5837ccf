package backend

import (
	"testing"

	"github.com/matryer/is"
)

// TestChoiceAmongManyLooksAtFew: the servers whose state is looked at do not grow with the service.
func TestChoiceAmongManyLooksAtFew(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{100, 10000} {
		s, _ := newTestSet(1)
		s.Replace(append(servers("east-a", n/2, 4), servers("west-a", n/2, 4)...), true)
		asked := 0
		r := &Request{Service: "shop", Key: 7, RegionAllowed: func(string) bool { asked++; return true }}
		for range 50 {
			r.Key++
			lease, err := s.Choose(r)
			is.NoErr(err)
			lease.Done(Answered, nil)
		}
		is.True(asked <= 50*(2*12+4)) // and the regions themselves
	}
}
