package backend

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// randomSet returns a set in a random state: servers that are cold, ejected or draining, or have
// different speeds.
func randomSet(r *rand.Rand) (*Set, *clock) {
	s, c := newTestSet(1)
	var list []Server
	for _, zone := range []string{"east-a", "east-b", "west-a", "north-a"} {
		list = append(list, servers(zone, 1+r.IntN(60), 4)...)
	}
	failureRate := r.Float64()
	for i := range list {
		list[i].Draining = r.Float64() < 0.1
		if r.Float64() < failureRate {
			list[i].ColdFor = time.Second
		}
	}
	s.Replace(list, true)
	for _, v := range s.services["shop"].servers {
		if r.Float64() < failureRate {
			v.health.ejectedUntil = c.at.Add(time.Second)
		}
		if r.Float64() < 0.2 {
			v.speed.keyWeight = 0.5 + r.Float64()
		}
		v.load.own = r.IntN(12)
	}
	return s, c
}

// firstOf returns the first servers of a list that a choice looks at. Ejected servers have no
// order: if one of them comes first, all servers are ejected and the request is refused.
func firstOf(list []candidate, front int) []string {
	var ids []string
	for _, c := range list[:min(front, len(list))] {
		id := c.ID
		if c.ejected {
			id = "failing"
		}
		ids = append(ids, id)
	}
	return ids
}

// TestShortListsChooseAsAllServersDo checks that, in any state of the servers, the first ones
// that a choice looks at are the same as if all servers were ordered.
func TestShortListsChooseAsAllServersDo(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(1, 1))
	short := 0
	for range 3000 {
		s, c := randomSet(r)
		g := s.services["shop"]
		request := &Request{Service: "shop", Key: r.Uint64(), LargeBody: r.IntN(3) == 0, RegionAllowed: anyRegion}
		for range r.IntN(3) {
			request.Tried = append(request.Tried, g.servers[r.IntN(len(g.servers))].ID)
		}
		stays, front := r.IntN(4) > 0, s.frontSize(request)
		near, far, ok := s.shortCandidates(g, request, versionChoice{}, stays, c.at)
		if !ok {
			continue
		}
		short++
		if request.LargeBody {
			s.estimateLoads(near, front, c.at)
			s.zoneFirst(near, c.at)
		}
		gotNear, gotFar := firstOf(near, front), firstOf(far, front)
		near, far = s.allCandidates(g, request, versionChoice{}, stays, c.at)
		bestFirst(near, front)
		bestFirst(far, front)
		if request.LargeBody {
			s.estimateLoads(near, front, c.at)
			s.zoneFirst(near, c.at)
		}
		is.Equal(gotNear, firstOf(near, front))
		is.Equal(gotFar, firstOf(far, front))
	}
	is.True(short > 1000)
}

// TestChoiceAmongManyLooksAtFew checks that the number of servers whose state is examined does
// not grow with the service.
func TestChoiceAmongManyLooksAtFew(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{100, 10000} {
		s, _ := newTestSet(1)
		s.Replace(append(servers("east-a", n/2, 4), servers("west-a", n/2, 4)...), true)
		asked := 0
		r := &Request{Service: "shop", Key: 7, RegionAllowed: func(string) bool { asked++; return true }}
		for range 50 {
			r.Key++
			lease, err := s.Choose(r)
			is.NoErr(err)
			lease.Done(Answered, nil)
		}
		is.True(asked <= 50*(2*shortListSize+4)) // the regions themselves are counted too
	}
}

// TestIndexFollowsTheList checks that servers that are added, removed, moved to another service
// or restarted are found at once.
func TestIndexFollowsTheList(t *testing.T) {
	is := is.New(t)
	s, _ := newTestSet(1)
	s.Replace(servers("east-a", 1, 4), true)
	got := func() []string {
		var ids []string
		for key := range uint64(64) {
			if lease, err := choose(s, mix(key)); err == nil {
				ids = append(ids, lease.ID)
				lease.Done(Answered, nil)
			}
		}
		slices.Sort(ids)
		return slices.Compact(ids)
	}
	is.Equal(got(), []string{"east-a-0"})
	s.Replace(servers("east-a", 3, 4), true)
	is.Equal(got(), []string{"east-a-0", "east-a-1", "east-a-2"})
	moved := servers("east-a", 1, 4)[0]
	moved.Service = "desk"
	s.Put(moved)
	is.Equal(got(), []string{"east-a-1", "east-a-2"})
	s.Remove("east-a-1", true)
	is.Equal(got(), []string{"east-a-2"})
	again := servers("east-a", 3, 4)[2]
	again.StartedAtMs = 9
	s.Put(again)
	is.Equal(got(), []string{"east-a-2"})
	is.Equal(len(s.services["shop"].index), 1)
	is.Equal(fmt.Sprint(s.services["shop"].index[0].server.StartedAtMs), "9")
}
