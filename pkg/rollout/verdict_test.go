package rollout

import (
	"errors"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/stoneworks/stoneworks/pkg/canary"
)

// noteTimed records answers of a version, the first of which are failures.
func noteTimed(t *Table, version string, answers, failures int, took time.Duration) {
	for i := range answers {
		t.Observe("shop", version, canary.Sample{Route: "read", Failed: i < failures, Known: true, Took: took})
	}
}

// wantedState returns the state that the box would write to the store after judging once.
func wantedState(f *fleet, t *Table) State {
	t.Tick(View{IsJudge: true, MayStep: true, Room: f.roomOf})
	state, _ := t.orders["shop"].wanted()
	return state
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
			f := ordered(2)
			table, source := f.boxes[0], f.boxes[0]
			if c.elsewhere {
				source = f.boxes[1]
			}
			noteTimed(source, "v1", 100, c.oldBad, 100*time.Millisecond)
			noteTimed(source, "v2", 30, c.newBad, c.newTook)
			if c.elsewhere {
				for _, r := range source.Reports(f.roomOf) {
					datagram, err := Wire.Encode(&r)
					is.NoErr(err)
					back, err := Wire.Decode(datagram)
					is.NoErr(err)
					is.NoErr(table.AddReport(back))
				}
			}
			is.Equal(wantedState(f, table) == RolledBack, c.result)
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
		f := ordered(1)
		table := f.boxes[0]
		noteTimed(table, "v1", 300, 0, 100*time.Millisecond)
		noteLate(table, "v1", c.oldFirst, c.oldLate)
		noteLate(table, "v2", 20, c.newLate)
		is.New(t).Equal(wantedState(f, table) == RolledBack, c.bad)
	}
}

// TestOldResultsAreDiscarded: a version is evaluated by its recent results, and a new order
// for a service starts from empty tallies.
func TestOldResultsAreDiscarded(t *testing.T) {
	is := is.New(t)
	f := ordered(1)
	table := f.boxes[0]
	noteTimed(table, "v2", 20, 6, time.Millisecond)
	f.at = f.at.Add(16 * time.Second)
	is.Equal(wantedState(f, table), Running)
	noteTimed(table, "v2", 20, 6, time.Millisecond)
	table.Set(Order{Service: "shop", Version: "v3", Duration: 20 * time.Second, Revision: 9, Given: 9})
	is.Equal(wantedState(f, table), Running)
	table.Remove("shop")
	is.Equal(len(table.Rules()), 0)
}

// TestMalformedReportsAreIgnored checks that no count that cannot be one is taken for evidence.
func TestMalformedReportsAreIgnored(t *testing.T) {
	nan, inf := float32(math.NaN()), float32(math.Inf(1))
	for _, r := range []Report{
		{Count: Count{Requests: nan}}, {Count: Count{Answers: nan}}, {Count: Count{Answers: -1}}, {Count: Count{Requests: inf}},
		{Load: map[string]float32{"east": nan}}, {Load: map[string]float32{"east": -1}},
		{Canary: canary.Report{Health: canary.Health{Servers: nan}}}, {Canary: canary.Report{Health: canary.Health{Failed: -1}}},
	} {
		is := is.New(t)
		f := ordered(1)
		r.Box, r.Service, r.Given = "box-9", "shop", f.store.read().Given
		datagram, err := Wire.Encode(&r)
		is.NoErr(err)
		back, err := Wire.Decode(datagram)
		is.NoErr(err)
		var malformed *MalformedReportError
		is.True(errors.As(f.boxes[0].AddReport(back), &malformed))
		is.Equal(len(f.boxes[0].orders["shop"].evidence.reports), 0)
	}
}
