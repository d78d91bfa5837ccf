// Package shift decides which region serves which clients, and how that may
// change: never by more of the traffic, in any window, than the cap that the
// operator set. It has no input or output.
//
// The clients of each region fall into buckets. A plan gives each bucket its
// serving region. The planner moves a plan towards its target in steps within
// the cap; each box walks from what it has in force towards the plan within
// the cap as well, so that neither a late plan nor a wrong one can break it.
package shift

import (
	"sort"
	"sync"

	"github.com/stoneworks/stoneworks/pkg/decide"
	"github.com/stoneworks/stoneworks/pkg/model"
)

// Plan is one service's assignment of buckets to regions.
type Plan struct {
	// Regions that the letters of Assign stand for: 'a' is the first.
	Regions []string `json:"regions"`
	// Assign has, for each client region, one letter for each bucket.
	Assign map[string]string `json:"assign"`
}

// Region returns the region that serves a bucket, or "" if there is none.
func (p *Plan) Region(client string, bucket int) string {
	letters := p.Assign[client]
	if bucket >= len(letters) {
		return ""
	}
	i := int(letters[bucket] - 'a')
	if i < 0 || i >= len(p.Regions) {
		return ""
	}
	return p.Regions[i]
}

// Assignments returns the plan in the form that decisions use.
func (p *Plan) Assignments() map[string]*decide.Assignment {
	all := make(map[string]*decide.Assignment, len(p.Assign))
	for client := range p.Assign {
		a := &decide.Assignment{}
		for bucket := range a {
			a[bucket] = p.Region(client, bucket)
		}
		all[client] = a
	}
	return all
}

// WithMoves returns a copy in which some buckets of a client region have others.
func (p *Plan) WithMoves(client string, moves map[int]string) *Plan {
	next := &Plan{Regions: append([]string(nil), p.Regions...), Assign: map[string]string{}}
	for c, letters := range p.Assign {
		next.Assign[c] = letters
	}
	letters := []byte(next.Assign[client])
	for len(letters) < decide.Buckets {
		letters = append(letters, 0)
	}
	for bucket, region := range moves {
		letters[bucket] = next.letter(region)
	}
	next.Assign[client] = string(letters)
	return next
}

// letter returns the letter of a region, which it adds if it is new.
func (p *Plan) letter(region string) byte {
	for i, r := range p.Regions {
		if r == region {
			return byte('a' + i)
		}
	}
	p.Regions = append(p.Regions, region)
	return byte('a' + len(p.Regions) - 1)
}

// ================================================================
// Targets
// ================================================================

// Conditions is what a target depends on besides the service itself.
type Conditions struct {
	// ClientRegions lists all regions of the deployment.
	ClientRegions []string
	// Serving lists the regions with backend servers for the service.
	Serving []string
	// Usable reports whether a serving region can be reached at present.
	Usable func(region string) bool
}

// Target returns the assignment that the operator's settings ask for under the
// facts. Where nothing usable is left, the current assignment stands.
func Target(s *model.Service, current *Plan, f Conditions) *Plan {
	next := &Plan{Assign: map[string]string{}}
	var usable []string
	for _, r := range f.Serving {
		if f.Usable(r) {
			usable = append(usable, r)
		}
	}
	for _, client := range f.ClientRegions {
		moves := map[int]string{}
		wanted := plannedRegions(s, client)
		for bucket := range decide.Buckets {
			moves[bucket] = choose(wanted[bucket], client, bucket, f.Serving, usable, current)
		}
		next = next.WithMoves(client, moves)
	}
	return next
}

// plannedRegions gives the operator's shifts to the first buckets of a fixed
// order, so that a larger share contains the smaller one.
func plannedRegions(s *model.Service, client string) map[int]string {
	wanted := map[int]string{}
	order := bucketOrder(s.Name, client)
	at := 0
	for _, shift := range s.Shifts {
		if shift.FromRegion != client {
			continue
		}
		for range int(shift.Share*decide.Buckets + 0.5) {
			if at < len(order) {
				wanted[order[at]] = shift.ToRegion
				at++
			}
		}
	}
	return wanted
}

// choose returns the first usable one of: the planned region, the client's own,
// one by hash. Failing these, what is.
func choose(planned, client string, bucket int, serving, usable []string, current *Plan) string {
	for _, r := range []string{planned, client} {
		if r != "" && contains(usable, r) {
			return r
		}
	}
	if len(usable) > 0 {
		return usable[decide.Hash("bucket", client, string(rune(bucket)))%uint64(len(usable))]
	}
	if current != nil && current.Region(client, bucket) != "" {
		return current.Region(client, bucket)
	}
	if contains(serving, client) || len(serving) == 0 {
		return client
	}
	return serving[bucket%len(serving)]
}

// orders keeps the order of each service's and client region's buckets, since
// it never changes and every walk and step needs it.
var orders sync.Map

type orderKey struct{ service, client string }

// bucketOrder is the fixed order in which buckets move. It is not to be changed.
func bucketOrder(service, client string) []int {
	key := orderKey{service, client}
	if order, ok := orders.Load(key); ok {
		return order.([]int)
	}
	order := make([]int, decide.Buckets)
	rank := make([]uint64, decide.Buckets)
	for i := range order {
		order[i] = i
		rank[i] = decide.Hash(service, client, string(rune(i)))
	}
	sort.Slice(order, func(i, j int) bool { return rank[order[i]] < rank[order[j]] })
	orders.Store(key, order)
	return order
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

// ================================================================
// Steps
// ================================================================

// Step moves the current plan towards the target by at most the cap: of each
// client region's buckets, so that it holds whatever the regions' sizes are.
// mayEnter reports whether a region may take more.
func Step(service string, current, target *Plan, limit float64, mayEnter func(region string) bool) *Plan {
	next := current
	for client := range target.Assign {
		moves := map[int]string{}
		for _, bucket := range bucketOrder(service, client) {
			if float64(len(moves)+1) > limit*decide.Buckets+rounding {
				break
			}
			to := target.Region(client, bucket)
			if current.Region(client, bucket) != to && mayEnter(to) {
				moves[bucket] = to
			}
		}
		if len(moves) > 0 {
			next = next.WithMoves(client, moves)
		}
	}
	return next
}

// rounding forgives what floating point does to cap times buckets.
const rounding = 1e-9

// Distance returns the largest share of a client region's buckets in which two
// plans differ.
func Distance(a, b *Plan) float64 {
	most := 0
	for client := range b.Assign {
		n := 0
		for bucket := range decide.Buckets {
			if a.Region(client, bucket) != b.Region(client, bucket) {
				n++
			}
		}
		most = max(most, n)
	}
	return float64(most) / decide.Buckets
}
