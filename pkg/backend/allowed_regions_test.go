package backend

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stoneworks/stoneworks/pkg/rollout"
)

// burden gives servers of the set limits, backoffs, evacuations, versions and other zones at random.
func burden(s *Set, r *rand.Rand) {
	limited := map[string]bool{}
	for _, v := range s.List() {
		if r.IntN(4) == 0 {
			limited[v.ID] = true
		}
		if r.IntN(8) == 0 {
			s.BackOff(v.Incarnation(), time.Second)
		}
		if r.IntN(8) == 0 {
			v.Zone = []string{"east-a", "west-a", "north-a"}[r.IntN(3)]
			s.Put(v)
		}
		if r.IntN(3) == 0 {
			v.Version = "v2"
			s.Put(v)
		}
	}
	s.AnyLimited = func() bool { return len(limited) > 0 }
	s.HasLimit = func(v *Server) bool { return limited[v.ID] }
	s.Admit = func(v *Server, ask, _ bool) (Admission, time.Duration) {
		switch {
		case !limited[v.ID]:
			return Unlimited, 0
		case ask && r.IntN(3) == 0:
			return AdmissionUnknown, 0
		case r.IntN(2) == 0:
			return Granted, 0
		}
		return Denied, time.Second
	}
	if r.IntN(3) == 0 {
		s.SetEvacuated([]string{"west-a"})
	}
	if r.IntN(2) == 0 {
		s.SetVersions(map[string]rollout.Rule{"shop": {Version: "v2", Share: r.Float64(), Excluded: r.IntN(4) == 0}})
	}
}

// TestNoServerOutsideTheAllowedRegionsIsChosen guards against a way of choosing a server, for retries,
// limits, backoffs, versions or cold servers, that skips the check of its region.
func TestNoServerOutsideTheAllowedRegionsIsChosen(t *testing.T) {
	r := rand.New(rand.NewPCG(2, 2))
	chosen := 0
	for range 2000 {
		s, c := randomSet(r)
		burden(s, r)
		allowed := map[string]bool{"east": r.IntN(2) == 0, "west": r.IntN(2) == 0, "north": r.IntN(2) == 0}
		for range 8 {
			request := &Request{Service: "shop", Key: r.Uint64(), Priority: r.IntN(3), LargeBody: r.IntN(3) == 0, RegionAllowed: func(region string) bool { return allowed[region] }}
			for range 4 {
				l, err := s.Choose(request)
				if err != nil {
					if choice := err.(*ChoiceError); choice.Reason == AdmissionPending {
						request.AdmissionAsked, request.GrantedBy = true, choice.Server.Incarnation()
					}
					continue
				}
				chosen++
				if region := regionOf(l.Zone); !allowed[region] || !allowed[l.server.region] {
					t.Fatalf("%s in region %s is chosen, allowed are %v", l.ID, region, allowed)
				}
				request.Tried = append(request.Tried, l.ID)
				l.Done([]Result{Answered, Shed, Unreachable, Crashed, NoPath}[r.IntN(5)], nil)
				c.advance(100 * time.Millisecond)
			}
		}
	}
	if chosen < 10000 {
		t.Fatalf("only %d requests had a server", chosen)
	}
}
