// Package shift decides which region serves which clients, and limits how fast that
// changes: in any window, no more of the traffic changes its region than the cap that the
// operator set. It does no input or output.
//
// The clients of each region are hashed into buckets. A plan assigns each bucket to a
// serving region. The planner moves a plan towards its target in steps within the cap.
// Each box moves from its active assignment towards the plan within the cap too, so that
// neither a late plan nor a wrong one can exceed the cap.
package shift

import (
	"sort"
	"sync"

	"github.com/stoneworks/stoneworks/pkg/decide"
	"github.com/stoneworks/stoneworks/pkg/model"
)

// Plan is the assignment of a service's buckets to regions.
type Plan struct {
	// Regions lists the regions that the letters of Assign stand for; 'a' is the first.
	Regions []string `json:"regions"`
	// Assign holds one letter for each bucket, by client region.
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

// Assignments converts the plan to the form that package decide uses.
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

// WithMoves returns a copy in which the given buckets of a client region have new
// serving regions.
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

// letter returns the letter of a region, and adds the region if it is new.
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

// Conditions holds what a target depends on besides the service itself.
type Conditions struct {
	// ClientRegions lists all regions of the deployment.
	ClientRegions []string
	// Serving lists the regions with backend servers for the service.
	Serving []string
	// Usable reports whether a serving region is reachable.
	Usable func(region string) bool
}

// Target returns the assignment that the operator's settings require under the
// conditions. If no serving region is usable, it keeps the current assignment.
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
			moves[bucket] = chooseRegion(wanted[bucket], client, bucket, f.Serving, usable, current)
		}
		next = next.WithMoves(client, moves)
	}
	return next
}

// plannedRegions assigns the operator's shifts to the first buckets of a fixed order, so
// that the buckets of a smaller share are among those of a larger one.
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

// chooseRegion returns the planned region, the client's own region or one selected by hash,
// whichever is usable first. If none is, it returns the bucket's current region, else the
// client's own region if that serves or none does, else one of the serving regions.
func chooseRegion(planned, client string, bucket int, serving, usable []string, current *Plan) string {
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

// orders caches the bucket order of each service and client region, since it never
// changes and every step of the planner and of a migrator needs it.
var orders sync.Map

type orderKey struct{ service, client string }

// bucketOrder returns the fixed order in which buckets move. It must not be changed.
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

// Step moves the current plan towards the target by at most the cap. The cap applies to
// the buckets of each client region, so that it holds for regions of any size.
// mayEnter reports whether a region may get more clients.
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

// rounding is the tolerance for floating-point errors in cap times buckets.
const rounding = 1e-9

// Distance returns the largest fraction of a client region's buckets in which two plans
// differ.
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
