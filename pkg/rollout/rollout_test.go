package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/stoneworks/stoneworks/pkg/canary"
)

type clock struct{ at time.Time }

func (c *clock) now() time.Time { return c.at }

func newTestTable() (*Table, *clock) {
	c := &clock{at: time.Unix(1000, 0)}
	t := NewTable("box-1", c.now)
	t.Set(Order{Service: "shop", Version: "v2", Duration: 20 * time.Second, Revision: 7})
	return t, c
}

// note records answers of a version, the first of which are failures.
func note(t *Table, version string, answers, failures int, took time.Duration) {
	for i := range answers {
		t.Observe("shop", version, canary.Sample{Route: "read", Failed: i < failures, Known: true, Took: took})
	}
}

// TestBadVersionGetsFewRequests: if the version turns bad at any time in the first seven
// tenths of the duration, the requests it gets until two seconds later are at most a tenth of
// all requests in the duration.
func TestBadVersionGetsFewRequests(t *testing.T) {
	duration := 20 * time.Second
	got := 0.0
	for elapsed := time.Duration(0); elapsed <= duration*7/10+2*time.Second; elapsed += 10 * time.Millisecond {
		got += shareAt(elapsed, duration) * 0.01
	}
	is.New(t).True(got/duration.Seconds() <= 0.1)
}

func TestOrderIsCompleteBeforeItsTime(t *testing.T) {
	is := is.New(t)
	table, c := newTestTable()
	is.Equal(table.Changes()[0].State, Running)
	table.Set(Order{Service: "shop", Version: "v2", Duration: 20 * time.Second, Revision: 8, State: Running})
	is.Equal(len(table.Changes()), 0)
	c.at = c.at.Add(19 * time.Second)
	is.Equal(table.Changes()[0].State, Complete)
	is.Equal(table.Changes()[0].Order.Revision, uint64(8))
	table.Set(Order{Service: "shop", Version: "v2", Duration: 20 * time.Second, Revision: 9, State: Complete})
	is.Equal(table.Rules()["shop"], Rule{Version: "v2", Share: 1})
	is.Equal(len(table.Changes()), 0)
}

// TestVerdicts: a few failures do not make a version bad, nor do failures that all servers
// have alike. Failures reported by other boxes count.
func TestVerdicts(t *testing.T) {
	for _, c := range []struct {
		name              string
		oldBad, newBad    int
		newTook           time.Duration
		elsewhere, result bool
	}{
		{name: "no failures", newTook: 100 * time.Millisecond},
		{name: "few failures", newBad: 5, newTook: 100 * time.Millisecond},
		{name: "failures", newBad: 6, newTook: 100 * time.Millisecond, result: true},
		{name: "all fail alike", oldBad: 60, newBad: 20, newTook: 100 * time.Millisecond},
		{name: "slow", newTook: 300 * time.Millisecond, result: true},
		{name: "failures that another box has seen", newBad: 6, newTook: 100 * time.Millisecond, elsewhere: true, result: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			table, now := newTestTable()
			source := table
			if c.elsewhere {
				source = NewTable("box-2", now.now)
				source.Set(Order{Service: "shop", Version: "v2", Duration: 20 * time.Second})
			}
			note(source, "v1", 100, c.oldBad, 100*time.Millisecond)
			note(source, "v2", 30, c.newBad, c.newTook)
			if c.elsewhere {
				for _, r := range source.Reports() {
					datagram, err := Wire.Encode(&r)
					is.NoErr(err)
					back, err := Wire.Decode(datagram)
					is.NoErr(err)
					table.AddReport(back)
				}
			}
			change := table.Changes()[0]
			is.Equal(change.State == RolledBack, c.result)
			is.Equal(table.Rules()["shop"].Excluded, c.result)
		})
	}
}

// noteLate records first uses of keys, the first of which get no answer in time.
func noteLate(t *Table, version string, answers, late int) {
	for i := range answers {
		t.Observe("shop", version, canary.Sample{Route: "read", Late: i < late, Took: 2 * time.Second})
	}
}

// TestLateFirstUsesAreComparedWithFirstUses guards against rolling back a good version because
// first uses take longer than a route's timeout, both at the new servers and at the others,
// while the others mostly get keys that they know. A version that never answers is still found
// to be bad.
func TestLateFirstUsesAreComparedWithFirstUses(t *testing.T) {
	for _, c := range []struct {
		oldFirst, oldLate, newLate int
		bad                        bool
	}{
		{oldFirst: 20, oldLate: 12, newLate: 18},
		{oldFirst: 20, oldLate: 1, newLate: 18, bad: true},
		{oldFirst: 2, newLate: 8},
		{oldFirst: 2, newLate: 20, bad: true},
	} {
		table, _ := newTestTable()
		note(table, "v1", 300, 0, 100*time.Millisecond)
		noteLate(table, "v1", c.oldFirst, c.oldLate)
		noteLate(table, "v2", 20, c.newLate)
		is.New(t).Equal(table.Changes()[0].State == RolledBack, c.bad)
	}
}

// TestOldResultsAreDiscarded: a version is evaluated by its recent results, and a new order
// for a service starts from empty tallies.
func TestOldResultsAreDiscarded(t *testing.T) {
	is := is.New(t)
	table, c := newTestTable()
	note(table, "v2", 20, 6, time.Millisecond)
	c.at = c.at.Add(16 * time.Second)
	is.Equal(table.Changes()[0].State, Running)
	note(table, "v2", 20, 6, time.Millisecond)
	table.Set(Order{Service: "shop", Version: "v3", Duration: 20 * time.Second})
	is.Equal(table.Changes()[0].State, Running)
	table.Remove("shop")
	is.Equal(len(table.Rules()), 0)
}

// TestReportsFitAPacket: a report with the maximum number of routes fits into a datagram.
func TestReportsFitAPacket(t *testing.T) {
	is := is.New(t)
	table, _ := newTestTable()
	for i := range 32 {
		table.Observe("shop", "v2", canary.Sample{Route: fmt.Sprintf("route-%010d", i), Took: time.Second})
	}
	reports := table.Reports()
	is.Equal(len(reports[0].Canary.Comparisons), 16)
	datagram, err := Wire.Encode(&reports[0])
	is.NoErr(err)
	is.True(len(datagram) <= 1200)
}
