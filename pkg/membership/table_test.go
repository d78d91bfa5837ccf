package membership

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/stoneworks/stoneworks/pkg/platform"
)

func TestStates(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000, 0)
	table := NewTable("a", func() time.Time { return now })
	table.SetSelf(Record{Box: "a"})
	table.Merge([]Record{{Box: "b", Incarnation: "1", Started: 1, Version: 5}})
	state := func(box string) State {
		m, ok := table.Get(box)
		is.True(ok)
		return m.State
	}
	is.Equal(state("b"), Live)
	now = now.Add(SuspectAfter + 1)
	is.Equal(state("b"), Suspect)
	table.Merge([]Record{{Box: "b", Incarnation: "1", Started: 1, Version: 5}}) // same version
	now = now.Add(DeadAfter)
	is.Equal(state("b"), Dead)
	table.Merge([]Record{{Box: "b", Incarnation: "2", Started: 2, Version: 1}}) // new incarnation
	is.Equal(state("b"), Live)
	table.Merge([]Record{{Box: "b", Incarnation: "1", Started: 1, Version: 9}}) // late record of the old incarnation
	m, _ := table.Get("b")
	is.Equal(m.Incarnation, "2")
	table.SetListed([]platform.Box{{Box: "b", Leaving: true}, {Box: "c"}})
	is.Equal(state("b"), Leaving)
	is.Equal(len(table.Members()), 3)
	table.SetListed(nil)
	now = now.Add(ForgetAfter + 1)
	table.Expire()
	is.Equal(len(table.Members()), 1)
}

func TestOwnSuspensionIsNotSilenceOfOthers(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000, 0)
	table := NewTable("a", func() time.Time { return now })
	table.Merge([]Record{{Box: "b", Version: 1}})
	now = now.Add(time.Hour)
	table.ResetSilence()
	m, _ := table.Get("b")
	is.Equal(m.State, Live)
}

// TestPartialNeverHidesFull guards against a partial record, which had passed through
// another region and lacked the views of slots, replacing the full one, so that slots
// were used twice.
func TestPartialNeverHidesFull(t *testing.T) {
	is := is.New(t)
	table := NewTable("a", time.Now)
	table.SameRegion = func(zone string) bool { return zone == "near" }
	partial := Record{Box: "b", Zone: "near", Incarnation: "1", Version: 7, Partial: true}
	full := Record{Box: "b", Zone: "near", Incarnation: "1", Version: 5, Excess: map[string]int{"s": 1}}
	table.Merge([]Record{partial, full})
	m, _ := table.Get("b")
	is.Equal(m.Excess["s"], 1)
	partial.Version = 9
	table.Merge([]Record{partial})
	m, _ = table.Get("b")
	is.Equal(m.Version, uint64(5))
	table.Merge([]Record{{Box: "b", Zone: "near", Incarnation: "2", Started: 1, Partial: true}})
	m, _ = table.Get("b")
	is.True(m.Partial) // a new incarnation without a full record yet
}
