package backend

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestServerThatAskedForRestGetsNothing checks that a server gets no request during its backoff,
// not even one that was about to be sent to it, and that its keys go to the next server. Then one
// request probes it, and once that is answered the server gets all of its keys again.
func TestServerThatAskedForRestGetsNothing(t *testing.T) {
	is := is.New(t)
	s, c := newTestSet(1)
	s.Replace(servers("east-a", 6, 4), true)
	home, err := choose(s, 7)
	is.NoErr(err)
	waiting, err := choose(s, 7)
	is.NoErr(err)
	is.Equal(waiting.ID, home.ID)
	is.True(s.BackOff(home.Incarnation(), 3*time.Second))
	is.True(!s.BackOff(home.Incarnation(), time.Second)) // the longer backoff stays in force
	home.Done(Shed, nil)
	is.True(!waiting.MaySend())
	is.True(waiting.Usable()) // the server is not leaving
	waiting.Done(Withdrawn, nil)
	for range 29 {
		l, err := choose(s, 7)
		is.NoErr(err)
		is.True(l.ID != home.ID)
		is.Equal(l.BackedOff, 1)
		l.Done(Answered, nil)
		c.advance(100 * time.Millisecond)
	}
	c.advance(100 * time.Millisecond)
	trial, err := choose(s, 7)
	is.NoErr(err)
	is.Equal(trial.ID, home.ID)
	is.True(trial.MaySend())
	other, err := choose(s, 7)
	is.NoErr(err)
	is.True(other.ID != home.ID) // one probe at a time
	trial.Done(Answered, nil)
	l, err := choose(s, 7)
	is.NoErr(err)
	is.Equal(l.ID, home.ID)
	l, err = choose(s, 7)
	is.NoErr(err)
	is.Equal(l.ID, home.ID)
}

// TestTrialThatFailsIsFollowedByAnother checks that a failed probe is followed by another one,
// one at a time, and that the answer to a request sent before the backoff does not count as a
// probe's.
func TestTrialThatFailsIsFollowedByAnother(t *testing.T) {
	is := is.New(t)
	s, c := newTestSet(1)
	s.Replace(servers("east-a", 1, 4), true)
	before, err := choose(s, 1)
	is.NoErr(err)
	s.BackOff("east-a-0", time.Second)
	c.advance(time.Second)
	before.Done(Answered, nil)
	for _, result := range []Result{Shed, Broken, Abandoned, Withdrawn} {
		trial, err := choose(s, 1)
		is.NoErr(err)
		_, err = choose(s, 1)
		is.True(err != nil)
		trial.Done(result, &Load{Slots: 4})
	}
	c.advance(time.Minute)
	trial, err := choose(s, 1)
	is.NoErr(err)
	trial.Done(Answered, nil)
	for range 3 {
		_, err := choose(s, 1)
		is.NoErr(err)
	}
}

// TestWhereAllRest checks that a request whose servers are all in backoff is refused with the
// time when the first backoff ends, and that no more requests leave the region than a full region
// may spill.
func TestWhereAllRest(t *testing.T) {
	is := is.New(t)
	s, c := newTestSet(1)
	s.Replace(servers("east-a", 3, 4), true)
	for i, id := range []string{"east-a-0", "east-a-1", "east-a-2"} {
		s.BackOff(id, time.Duration(2+i)*time.Second)
	}
	c.advance(500 * time.Millisecond)
	_, err := choose(s, 1)
	var choice *ChoiceError
	is.True(errors.As(err, &choice))
	is.Equal(choice.Reason, BackingOff)
	is.Equal(choice.RetryAfter, 1500*time.Millisecond)
	s.Replace(append(servers("east-a", 3, 4), servers("west-a", 3, 4)...), true)
	moved := 0
	for key := range 400 {
		if l, err := choose(s, uint64(key)); err == nil {
			is.Equal(l.Zone, "west-a")
			l.Done(Answered, nil)
			moved++
		}
		c.advance(time.Millisecond)
	}
	is.True(moved > 0 && float64(moved) <= s.Policy.SpillShare*s.Bounds.MaxShift*400+1)
}

// TestRestOfAnotherLife checks that a backoff does not apply to the server's next incarnation.
func TestRestOfAnotherLife(t *testing.T) {
	is := is.New(t)
	s, _ := newTestSet(1)
	list := servers("east-a", 1, 4)
	list[0].StartedAtMs = 7
	s.Replace(list, true)
	is.True(!s.BackOff("east-a-0@6", time.Minute))
	is.True(s.BackOff("east-a-0@7", time.Minute))
	list[0].Slots = 5
	s.Put(list[0])
	_, err := choose(s, 1)
	is.True(err != nil) // an update of the list does not end the backoff
	list[0].StartedAtMs = 8
	s.Put(list[0])
	_, err = choose(s, 1)
	is.NoErr(err)
}

// TestNothingIsSentInRest checks that, in any order of choices, backoffs and results, MaySend is
// false for every lease on a server in backoff, and that each server is used again in the end.
func TestNothingIsSentInRest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, c := newTestSet(1)
		s.Replace(append(servers("east-a", 3, 2), servers("west-a", 2, 2)...), true)
		ends := map[string]time.Time{}
		var open []*Lease
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			c.advance(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			if rapid.Bool().Draw(t, "chooses") || len(open) == 0 {
				if l, err := choose(s, rapid.Uint64().Draw(t, "key")); err == nil {
					open = append(open, l)
					if c.at.Before(ends[l.ID]) {
						t.Fatalf("%s was chosen in its rest", l.ID)
					}
				}
				continue
			}
			i := rapid.IntRange(0, len(open)-1).Draw(t, "lease")
			l := open[i]
			open = append(open[:i], open[i+1:]...)
			if l.MaySend() == c.at.Before(ends[l.ID]) {
				t.Fatalf("%s: wanted %t", l.ID, l.MaySend())
			}
			if rapid.Bool().Draw(t, "rests") {
				d := time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond
				s.BackOff(l.Incarnation(), d)
				if end := c.at.Add(d); end.After(ends[l.ID]) {
					ends[l.ID] = end
				}
				l.Done(Shed, nil)
				continue
			}
			l.Done(Result(rapid.IntRange(0, len(resultNames)-1).Draw(t, "result")%int(Stale)), nil)
		}
		for _, l := range open {
			l.Done(Answered, nil)
		}
		c.advance(time.Minute)
		used := map[string]bool{}
		for key := range uint64(500) {
			if l, err := choose(s, key*7919); err == nil {
				used[l.ID] = true
				l.Done(Answered, nil)
				c.advance(10 * time.Millisecond)
			}
		}
		for i := range 3 {
			if id := servers("east-a", 3, 2)[i].ID; !used[id] {
				t.Fatalf("%s is not used again", id)
			}
		}
	})
}
