package backend

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// lose makes an exchange with the server end with the result.
func lose(s *Set, id string, result Result) {
	s.mu.Lock()
	lease := s.lease(&candidate{server: s.servers[id]}, 0, 1, s.Now())
	s.mu.Unlock()
	lease.Done(result, nil)
}

// TestGoneServersAreTold: that an address has gone to another server is told at
// once; that a server cannot be reached only by a box that its zone has just
// answered, since a box that is cut off reaches none.
func TestGoneServersAreTold(t *testing.T) {
	is := is.New(t)
	s, c := newTestSet(1)
	s.Replace(servers("east-a", 3, 4), true)
	var told []FailureReport
	s.ReportFailure = func(f FailureReport) { told = append(told, f) }
	lose(s, "east-a-0", Stale)
	is.Equal(told, []FailureReport{{Server: "east-a-0", Stale: true}})
	told = nil
	lose(s, "east-a-1", Unreachable) // nothing was heard of the zone
	lose(s, "east-a-2", Answered)
	c.advance(zoneAnswerMaxAge)
	lose(s, "east-a-1", Unreachable) // nor lately
	is.Equal(len(told), 0)
	lose(s, "east-a-2", Answered)
	lose(s, "east-a-1", Unreachable)
	is.Equal(told, []FailureReport{{Server: "east-a-1"}})
}

// TestToldServersGetNothing: a stale server gets no request of a box that was told
// so; one that cannot be reached rests once two boxes have told so.
func TestToldServersGetNothing(t *testing.T) {
	is := is.New(t)
	s, c := newTestSet(1)
	s.Replace(servers("east-a", 3, 4), true)
	resting := func(id string) bool { return s.servers[id].health.ejected(c.at) }
	s.ApplyFailureReport("box-2", FailureReport{Server: "east-a-0", Stale: true})
	is.True(s.servers["east-a-0"].stale)
	s.ApplyFailureReport("box-2", FailureReport{Server: "east-a-1"})
	s.ApplyFailureReport("box-2", FailureReport{Server: "east-a-1"})
	is.True(!resting("east-a-1")) // one box may be wrong
	s.ApplyFailureReport("box-3", FailureReport{Server: "east-a-1"})
	is.True(resting("east-a-1"))
	s.ApplyFailureReport("box-2", FailureReport{Server: "east-a-2"})
	c.advance(confirmWindow + time.Millisecond)
	s.ApplyFailureReport("box-3", FailureReport{Server: "east-a-2"})
	is.True(!resting("east-a-2")) // too far apart
	s.ApplyFailureReport("box-2", FailureReport{Server: "no-such-server"})
}

// TestOwnAnswersCountMoreThanHearsay: a box that a server has just answered
// believes nobody who cannot reach it; one that has just failed with it believes
// the first.
func TestOwnAnswersCountMoreThanHearsay(t *testing.T) {
	is := is.New(t)
	s, c := newTestSet(1)
	s.Replace(servers("east-a", 2, 4), true)
	lose(s, "east-a-0", Answered)
	s.ApplyFailureReport("box-2", FailureReport{Server: "east-a-0"})
	s.ApplyFailureReport("box-3", FailureReport{Server: "east-a-0"})
	is.True(!s.servers["east-a-0"].health.ejected(c.at))
	lose(s, "east-a-1", Broken)
	s.ApplyFailureReport("box-2", FailureReport{Server: "east-a-1"})
	is.True(s.servers["east-a-1"].health.ejected(c.at))
}
