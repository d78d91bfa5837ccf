package backend

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestBoundRequestWithoutAPathRestsNoServerForOthers guards against servers that get no requests at all
// since a bound one, which few boxes may pass on, found no path.
func TestBoundRequestWithoutAPathRestsNoServerForOthers(t *testing.T) {
	is := is.New(t)
	s, c := newTestSet(1)
	s.Put(Server{ID: "s1", Service: "shop", Zone: "east-a", Slots: 4})
	everywhere := func(string) bool { return true }
	free, bound := &Request{Service: "shop", RegionAllowed: everywhere}, &Request{Service: "shop", RegionAllowed: everywhere, Bound: true}
	end := func(r *Request, result Result) {
		l, err := s.Choose(r)
		is.NoErr(err)
		l.Done(result, nil)
	}
	end(bound, NoPath)
	_, err := s.Choose(bound)
	var choice *ChoiceError
	is.True(errors.As(err, &choice))
	is.Equal(choice.Reason, Failing)
	is.Equal(choice.RetryAfter, s.Policy.FirstRest)
	end(free, Answered)
	c.advance(s.Policy.FirstRest + time.Millisecond)
	end(bound, Answered)
	end(free, NoPath)
	_, err = s.Choose(bound)
	is.True(errors.As(err, &choice))
	_, err = s.Choose(free)
	is.True(errors.As(err, &choice))
}
