package backend

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/stoneworks/stoneworks/pkg/rollout"
)

// shareOfVersion is the share of requests that go to servers of version v2, of so many, beside so many others.
func shareOfVersion(t *testing.T, fresh, others int, rule rollout.Rule) float64 {
	t.Helper()
	s, _ := newTestSet(1)
	list := servers("east-a", others, 4)
	for i := range fresh {
		list = append(list, Server{ID: fmt.Sprint("new-", i), Service: "shop", Address: "10.0.0.1:1", Zone: "east-a", Slots: 4, Version: "v2"})
	}
	s.Replace(list, true)
	s.SetVersions(map[string]rollout.Rule{"shop": rule})
	got := 0
	const requests = 4000
	for key := range uint64(requests) {
		lease, err := choose(s, mix(key))
		is.New(t).NoErr(err)
		if lease.Version == "v2" {
			got++
		}
		lease.Done(Answered, nil)
	}
	return float64(got) / requests
}

// TestFirstServersOfAVersionGetWhatTheyCanDo. The story: a good version was rolled back three seconds after it was
// ordered. Two of its 119 servers had started, one request in twenty of the whole service went to these, and most
// of them got no answer in time. The cause: the share of the version followed the time alone. The evidence: all 27
// requests that failed there were at the two servers listed by then.
func TestFirstServersOfAVersionGetWhatTheyCanDo(t *testing.T) {
	is := is.New(t)
	running := rollout.Rule{Version: "v2", Share: 0.2}
	is.True(shareOfVersion(t, 1, 100, running) <= 0.02)
	share := shareOfVersion(t, 50, 100, running)
	is.True(share > 0.17 && share < 0.23)
	is.Equal(shareOfVersion(t, 0, 10, rollout.Rule{Version: "v2", Share: 1}), 0.0) // the others go on
	is.Equal(shareOfVersion(t, 10, 10, rollout.Rule{Version: "v2", Share: 1}), 1.0)
	is.Equal(shareOfVersion(t, 1, 10, rollout.Rule{Version: "v2", Share: 1}), 1.0)
	is.Equal(shareOfVersion(t, 10, 10, rollout.Rule{Version: "v2", Excluded: true}), 0.0)
}

// TestBarredVersionGetsNothing: what a barred version leaves is refused, not sent to it.
func TestBarredVersionGetsNothing(t *testing.T) {
	s, _ := newTestSet(1)
	s.Replace([]Server{{ID: "new-0", Service: "shop", Address: "10.0.0.1:1", Zone: "east-a", Slots: 4, Version: "v2"}}, true)
	s.SetVersions(map[string]rollout.Rule{"shop": {Version: "v2", Excluded: true}})
	_, err := choose(s, 1)
	is.New(t).True(err != nil)
}
