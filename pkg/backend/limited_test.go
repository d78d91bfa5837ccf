package backend

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
)

// rooms are the limits of a test's servers: how many requests each takes yet.
type rooms struct {
	left map[string]int
	// open: whether a server has room is not known where it may be asked.
	open     bool
	released []string
}

func newLimitedSet(left map[string]int) (*Set, *clock, *rooms) {
	s, c := newTestSet(1)
	rs := &rooms{left: left}
	s.Limited = func() bool { return true }
	s.Admit = func(v *Server, ask bool) (Admission, time.Duration) {
		n, limited := rs.left[v.ID]
		switch {
		case !limited:
			return Unlimited, 0
		case rs.open && ask:
			return Open, 0
		case n == 0:
			return Denied, time.Second
		}
		rs.left[v.ID]--
		return Granted, 0
	}
	s.Release = func(v *Server) { rs.released = append(rs.released, v.ID) }
	return s, c, rs
}

// TestServerWithoutRoomIsPassedOver: its keys go to the next server that they prefer, the same for
// each key, and come back when it has room.
func TestServerWithoutRoomIsPassedOver(t *testing.T) {
	is := is.New(t)
	s, _, rs := newLimitedSet(map[string]int{})
	s.Replace(servers("east-a", 6, 4), true)
	home, err := choose(s, 7)
	is.NoErr(err)
	is.True(!home.Metered)
	home.Done(Answered, nil)
	rs.left[home.ID] = 1
	l, err := choose(s, 7)
	is.NoErr(err)
	is.Equal(l.ID, home.ID)
	is.True(l.Metered)
	next, err := choose(s, 7)
	is.NoErr(err)
	is.True(next.ID != home.ID)
	is.Equal(next.Denied, 1)
	is.Equal(next.Home, 1)
	again, err := choose(s, 7)
	is.NoErr(err)
	is.Equal(again.ID, next.ID)
	delete(rs.left, home.ID)
	l, err = choose(s, 7)
	is.NoErr(err)
	is.Equal(l.ID, home.ID)
}

// TestWhereAllHaveNamedLimits: a request that finds no room is refused, with the soonest time at
// which one has room; and none leaves the region for that but what a full region may spill.
func TestWhereAllHaveNamedLimits(t *testing.T) {
	is := is.New(t)
	s, c, rs := newLimitedSet(map[string]int{})
	s.Replace(append(servers("east-a", 4, 4), servers("west-a", 4, 4)...), true)
	for range 200 {
		l, err := choose(s, uint64(c.at.UnixNano()))
		is.NoErr(err)
		l.Done(Answered, nil)
		c.advance(10 * time.Millisecond)
	}
	for _, v := range servers("east-a", 4, 4) {
		rs.left[v.ID] = 0
	}
	away, refused := 0, 0
	for key := range 100 {
		l, err := s.Choose(&Request{Service: "shop", Key: mix(uint64(key)), RegionAllowed: anyRegion})
		var choice *ChoiceError
		switch {
		case errors.As(err, &choice):
			is.Equal(choice.Reason, Limited)
			is.Equal(choice.RoomIn, time.Second)
			refused++
		case l.Remote && l.Denied > 0:
			away++
			l.Done(Answered, nil)
		default:
			l.Done(Answered, nil)
		}
		c.advance(10 * time.Millisecond)
	}
	is.True(refused > 0)
	is.True(float64(away) <= s.Terms.MaxShift*100) // of the region's requests, within a window
}

// TestRoomIsAskedForOnce: where it is open whether the preferred server has room the choice says
// so, and once it has been asked takes what was granted, or passes the server over.
func TestRoomIsAskedForOnce(t *testing.T) {
	is := is.New(t)
	s, _, rs := newLimitedSet(map[string]int{})
	s.Replace(servers("east-a", 6, 4), true)
	home, err := choose(s, 7)
	is.NoErr(err)
	home.Done(Answered, nil)
	rs.left[home.ID], rs.open = 0, true
	_, err = choose(s, 7)
	var choice *ChoiceError
	is.True(errors.As(err, &choice))
	is.Equal(choice.Reason, Undecided)
	is.Equal(choice.Server.ID, home.ID)
	r := &Request{Service: "shop", Key: 7, RegionAllowed: anyRegion, Asked: true, Granted: home.Life()}
	l, err := s.Choose(r)
	is.NoErr(err)
	is.Equal(l.ID, home.ID)
	is.True(l.Metered)
	r.Granted = ""
	l, err = s.Choose(r)
	is.NoErr(err)
	is.True(l.ID != home.ID)
}

// TestWhatWasNotSentIsReleased, and nothing else.
func TestWhatWasNotSentIsReleased(t *testing.T) {
	is := is.New(t)
	s, _, rs := newLimitedSet(map[string]int{"east-a-0": 100})
	s.Replace(servers("east-a", 1, 8), true)
	for result := Answered; result <= Crashed; result++ {
		s.servers["east-a-0"].health = health{}
		l, err := choose(s, 7)
		is.NoErr(err)
		rs.released = nil
		l.Done(result, nil)
		is.Equal(len(rs.released) == 1, result == Unreachable || result == Refused || result == Withdrawn)
		if result == Stale {
			s.servers["east-a-0"].stale = false
		}
	}
}
