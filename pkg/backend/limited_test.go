package backend

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
)

// fakeLimits are the limits of a test's servers: how many more requests each accepts.
type fakeLimits struct {
	left map[string]int
	// unknown is true if it is unknown whether a server has room, where the choice may ask.
	unknown  bool
	released []string
}

func newLimitedSet(left map[string]int) (*Set, *clock, *fakeLimits) {
	s, c := newTestSet(1)
	rs := &fakeLimits{left: left}
	s.AnyLimited = func() bool { return true }
	s.HasLimit = func(v *Server) bool {
		_, limited := rs.left[v.ID]
		return limited
	}
	s.Admit = func(v *Server, ask, yield bool) (Admission, time.Duration) {
		n, limited := rs.left[v.ID]
		switch {
		case !limited:
			return Unlimited, 0
		case yield:
			return Denied, 0
		case rs.unknown && ask:
			return AdmissionUnknown, 0
		case n == 0:
			return Denied, time.Second
		}
		rs.left[v.ID]--
		return Granted, 0
	}
	s.Release = func(v *Server) { rs.released = append(rs.released, v.ID) }
	return s, c, rs
}

// TestServerWithoutRoomIsPassedOver checks that the keys of a server without room go to the next
// server of their order, which is always the same for a key, and come back when it has room.
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
	is.Equal(next.Rank, 1)
	again, err := choose(s, 7)
	is.NoErr(err)
	is.Equal(again.ID, next.ID)
	delete(rs.left, home.ID)
	l, err = choose(s, 7)
	is.NoErr(err)
	is.Equal(l.ID, home.ID)
}

// TestWhereAllHaveNamedLimits checks that a request that finds no room is refused with the
// earliest time at which a server has room, and that no more requests leave the region than a
// full region may spill.
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
			is.Equal(choice.RetryAfter, time.Second)
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
	is.True(float64(away) <= s.Bounds.MaxShift*100) // of the region's requests, within a window
}

// TestRoomIsAskedForOnce checks that the choice reports that it is unknown whether the preferred
// server has room. Once the caller has asked, the choice uses what was granted, or skips the
// server.
func TestRoomIsAskedForOnce(t *testing.T) {
	is := is.New(t)
	s, _, rs := newLimitedSet(map[string]int{})
	s.Replace(servers("east-a", 6, 4), true)
	home, err := choose(s, 7)
	is.NoErr(err)
	home.Done(Answered, nil)
	rs.left[home.ID], rs.unknown = 0, true
	_, err = choose(s, 7)
	var choice *ChoiceError
	is.True(errors.As(err, &choice))
	is.Equal(choice.Reason, AdmissionPending)
	is.Equal(choice.Server.ID, home.ID)
	r := &Request{Service: "shop", Key: 7, RegionAllowed: anyRegion, AdmissionAsked: true, GrantedBy: home.Incarnation()}
	l, err := s.Choose(r)
	is.NoErr(err)
	is.Equal(l.ID, home.ID)
	is.True(l.Metered)
	r.GrantedBy = ""
	l, err = s.Choose(r)
	is.NoErr(err)
	is.True(l.ID != home.ID)
}

// TestWhatWasNotSentIsReleased checks that a token is released if and only if nothing was sent.
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

// simulateLimited simulates ten seconds in which two kinds of requests ask a server for four
// times the requests per second that its limit allows. It returns the share of each kind that is
// served.
func simulateLimited(t *testing.T, urgent, other int) (urgentShare, otherShare float64) {
	t.Helper()
	const perSecond, each = 20, 40
	s, c, rs := newLimitedSet(map[string]int{"east-a-0": 0})
	s.Replace(servers("east-a", 1, 4), true)
	var sent, got [2]int
	for tick := range 10 * each {
		if tick*perSecond/each > (tick-1)*perSecond/each {
			rs.left["east-a-0"] = 1
		}
		for i := range 2 {
			kind := (i + int(mix(uint64(tick))%2)) % 2
			sent[kind]++
			l, err := s.Choose(&Request{Service: "shop", Key: uint64(tick), Priority: []int{urgent, other}[kind], RegionAllowed: anyRegion})
			if err == nil {
				got[kind]++
				l.Done(Answered, nil)
			}
		}
		c.advance(time.Second / each)
	}
	return float64(got[0]) / float64(sent[0]), float64(got[1]) / float64(sent[1])
}

// TestLimitServesTheMoreUrgentFirst checks that the more urgent requests get most of a server's
// limit, that others get no less than a quarter as large a share, and that requests of one
// priority get equal shares.
func TestLimitServesTheMoreUrgentFirst(t *testing.T) {
	is := is.New(t)
	urgent, other := simulateLimited(t, 0, 2)
	t.Logf("%.2f of the urgent requests, %.2f of others", urgent, other)
	is.True(urgent >= 1.5*other)
	is.True(other >= urgent/4)
	is.True(urgent+other > 0.45) // of the half that the limit allows
	one, another := simulateLimited(t, 1, 1)
	t.Logf("%.2f and %.2f of requests of one rank", one, another)
	is.True(one < 1.2*another && another < 1.2*one)
}

// TestServersWithoutLimitsServeWhatOthersLeave guards against refusing requests that servers
// without limits could serve. Seven of nine servers of a service had limits without room, and the
// choice gave up after it had skipped five. It refused 252 of 1,600 requests here, which is how
// often the first five of nine servers in a key's order are among those seven (7*6*5*4*3 of
// 9*8*7*6*5: 0.17).
func TestServersWithoutLimitsServeWhatOthersLeave(t *testing.T) {
	is := is.New(t)
	s, c, rs := newLimitedSet(map[string]int{})
	list := servers("east-a", 9, 50)
	s.Replace(list, true)
	for _, v := range list[:7] {
		rs.left[v.ID] = 0
	}
	refused := 0
	for key := range 1600 {
		l, err := choose(s, mix(uint64(key)))
		if err != nil {
			refused++
			continue
		}
		is.True(l.ID == list[7].ID || l.ID == list[8].ID)
		l.Done(Answered, nil)
		c.advance(time.Millisecond)
	}
	t.Log(refused, "of 1,600 requests refused")
	is.Equal(refused, 0)
}
