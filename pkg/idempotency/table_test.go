package idempotency

import (
	"context"
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/stoneworks/stoneworks/pkg/outcome"
)

// init fixes the seed so that every run tests the same cases; -rapid.seed=0 selects a
// new seed for each run.
func init() {
	_ = flag.Set("rapid.seed", "20261202")
}

func TestParseKey(t *testing.T) {
	is := is.New(t)
	ticket, has, err := ParseKey("dakar-a-1/5f0c9e21/83120/score-771")
	is.NoErr(err)
	is.True(has)
	is.Equal(ticket, Ticket{Box: "dakar-a-1", Incarnation: "5f0c9e21", Issued: 83120 * time.Millisecond})
	_, has, err = ParseKey("my-own-key")
	is.NoErr(err)
	is.True(!has)
	for _, bad := range []string{"", "a b", "a\n", string(make([]byte, MaxKeyLength+1))} {
		_, _, err = ParseKey(bad)
		is.True(err != nil)
	}
}

func FuzzParseKey(f *testing.F) {
	f.Add("dakar-a-1/5f0c9e21/83120/score-771")
	f.Fuzz(func(t *testing.T, key string) {
		ticket, has, err := ParseKey(key)
		if err == nil && has && ticket.Issued < 0 {
			t.Fatal("negative age")
		}
	})
}

// TestTableAtMostOnce drives the table with requests, ends of executions and the passing
// of time in any order: a key is executed a second time only if the execution before
// certainly did not run.
func TestTableAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		age := time.Duration(0)
		table := NewTable(4, 10*time.Second, func() time.Duration { return age })
		mayHaveRun := map[string]bool{}
		running := map[string]*Execution{}
		issued := map[string]time.Duration{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			key := fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "key"))
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				age += time.Duration(rapid.IntRange(0, 6000).Draw(t, "ms")) * time.Millisecond
			case 1:
				if _, ok := issued[key]; !ok {
					issued[key] = age
				}
				run, first, failure := table.Begin(Key{Service: "s", Key: key}, issued[key])
				if failure != nil && failure.Outcome == outcome.NotRun && mayHaveRun[key] {
					t.Fatalf("key %s: reported as not run, but it may have run", key)
				}
				if first {
					if mayHaveRun[key] || running[key] != nil {
						t.Fatalf("key %s was executed twice", key)
					}
					running[key] = run
				}
			case 2:
				if run := running[key]; run != nil {
					run.Complete(&Answer{Status: 200})
					mayHaveRun[key] = true
					delete(running, key)
				}
			case 3:
				if run := running[key]; run != nil {
					f := rapid.SampledFrom([]*outcome.Failure{
						outcome.NewNotRun(outcome.ReasonConnect, ""), outcome.NewUnknown(outcome.ReasonTimeout, ""),
					}).Draw(t, "failure")
					run.Fail(f)
					mayHaveRun[key] = mayHaveRun[key] || f.Outcome == outcome.Unknown
					delete(running, key)
				}
			}
		}
	})
}

func TestRepeatJoins(t *testing.T) {
	is := is.New(t)
	table := NewTable(10, time.Minute, func() time.Duration { return time.Second })
	run, first, failure := table.Begin(Key{Service: "s", Key: "k", Fingerprint: 1}, 0)
	is.True(first && failure == nil)
	again, first, failure := table.Begin(Key{Service: "s", Key: "k", Fingerprint: 1}, 0)
	is.True(!first && failure == nil)
	run.Complete(&Answer{Status: 201})
	answer, failure := again.Wait(context.Background())
	is.True(failure == nil)
	is.Equal(answer.Status, 201)
	_, _, failure = table.Begin(Key{Service: "s", Key: "k", Fingerprint: 2}, 0)
	is.Equal(failure.Reason, outcome.ReasonBadRequest)
}
