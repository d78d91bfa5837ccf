package backend

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// endExchange runs an exchange with the server that ends with the result.
func endExchange(s *Set, id string, result Result) {
	s.mu.Lock()
	lease := s.lease(&candidate{server: s.servers[id]}, 0, 1, s.Now())
	s.mu.Unlock()
	lease.Done(result, nil)
}

// TestFailuresAreReported checks that a reused address is reported at once. An unreachable server
// is reported only by a box that another server of the zone has just answered, since a box that
// is cut off reaches no server.
func TestFailuresAreReported(t *testing.T) {
	is := is.New(t)
	s, c := newTestSet(1)
	s.Replace(servers("east-a", 3, 4), true)
	var reports []FailureReport
	s.ReportFailure = func(f FailureReport) { reports = append(reports, f) }
	endExchange(s, "east-a-0", Stale)
	is.Equal(reports, []FailureReport{{Server: "east-a-0", Stale: true}})
	reports = nil
	endExchange(s, "east-a-1", Unreachable) // no server of the zone has answered
	endExchange(s, "east-a-2", Answered)
	c.advance(zoneAnswerMaxAge)
	endExchange(s, "east-a-1", Unreachable) // or not recently
	is.Equal(len(reports), 0)
	endExchange(s, "east-a-2", Answered)
	endExchange(s, "east-a-1", Unreachable)
	is.Equal(reports, []FailureReport{{Server: "east-a-1"}})
}

// TestReportedServersGetNothing checks that a stale server gets no request from a box that got a
// report of it, and that an unreachable server is ejected once two boxes have reported it.
func TestReportedServersGetNothing(t *testing.T) {
	is := is.New(t)
	s, c := newTestSet(1)
	s.Replace(servers("east-a", 3, 4), true)
	ejected := func(id string) bool { return s.servers[id].health.ejected(c.at) }
	s.ApplyFailureReport("box-2", FailureReport{Server: "east-a-0", Stale: true})
	is.True(s.servers["east-a-0"].stale)
	s.ApplyFailureReport("box-2", FailureReport{Server: "east-a-1"})
	s.ApplyFailureReport("box-2", FailureReport{Server: "east-a-1"})
	is.True(!ejected("east-a-1")) // one box may be wrong
	s.ApplyFailureReport("box-3", FailureReport{Server: "east-a-1"})
	is.True(ejected("east-a-1"))
	s.ApplyFailureReport("box-2", FailureReport{Server: "east-a-2"})
	c.advance(confirmWindow + time.Millisecond)
	s.ApplyFailureReport("box-3", FailureReport{Server: "east-a-2"})
	is.True(!ejected("east-a-2")) // the reports are too far apart
	s.ApplyFailureReport("box-2", FailureReport{Server: "no-such-server"})
}

// TestOwnAnswersOutweighFailureReports checks that a box ignores failure reports of a server that
// has just answered it, and believes the first one of a server that has just failed it.
func TestOwnAnswersOutweighFailureReports(t *testing.T) {
	is := is.New(t)
	s, c := newTestSet(1)
	s.Replace(servers("east-a", 2, 4), true)
	endExchange(s, "east-a-0", Answered)
	s.ApplyFailureReport("box-2", FailureReport{Server: "east-a-0"})
	s.ApplyFailureReport("box-3", FailureReport{Server: "east-a-0"})
	is.True(!s.servers["east-a-0"].health.ejected(c.at))
	endExchange(s, "east-a-1", Broken)
	s.ApplyFailureReport("box-2", FailureReport{Server: "east-a-1"})
	is.True(s.servers["east-a-1"].health.ejected(c.at))
}
