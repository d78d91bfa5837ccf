// Package decide makes the routing decisions: which region, availability zone and
// box a request goes to, and which boxes a caller should use. It does no input or
// output. Every decision is a function of an immutable snapshot and the request, so
// boxes with equal snapshots make equal decisions.
package decide

import (
	"sort"

	"github.com/stoneworks/stoneworks/pkg/hashing"
	"github.com/stoneworks/stoneworks/pkg/membership"
	"github.com/stoneworks/stoneworks/pkg/model"
	"github.com/stoneworks/stoneworks/pkg/topology"
)

// Buckets is the number of buckets into which the clients of a region are hashed for
// each service. Shifts move whole buckets.
const Buckets = 200

// HomesPerServer is the number of boxes of its availability zone that connect to a
// backend server. It is constant so that the server's connections suffice for a zone of
// any size.
const HomesPerServer = 2

// Snapshot holds everything that decisions depend on. It is immutable; a change is
// made by replacing it with a new one.
type Snapshot struct {
	Self     string
	Zone     string
	Region   string
	Topology *topology.Map
	Services map[string]*ServiceView
	// Boxes lists the boxes of each zone that may get requests, sorted by name.
	Boxes map[string][]*BoxView
}

// ServiceView is one service prepared for decisions.
type ServiceView struct {
	Spec     *model.Service
	Revision uint64
	// Zones holds the zones with at least one backend server that is not leaving.
	Zones map[string]*ZoneView
	// Assign holds, for each client region, the region that serves each bucket.
	Assign map[string]*Assignment
	// regions lists the allowed regions with backend servers, sorted by name.
	regions []string
}

// ZoneView is a service's view of one zone.
type ZoneView struct {
	Zone   string
	Region string
	// Homes lists the boxes that hold a share of the slots: the boxes of the zone,
	// or those of its region if the zone has none.
	Homes []*BoxView
}

// BoxView is a box that may get requests.
type BoxView struct {
	Box         string
	Zone        string
	Incarnation string
	AgeMS       int64
	Callers     string
	Peers       string
	// Leaving is set if the box still serves the requests that reach it but is no
	// longer named in look-ups.
	Leaving bool
	// Free is the number of its free slots by service, as of its last heartbeat.
	Free map[string]int
	// Share is its share of the slots by service, as of its last heartbeat.
	Share map[string]int
	// Load is the fraction of all its slots that is in use.
	Load float64
	hash uint64
}

// Assignment maps each bucket to the region that serves it.
type Assignment [Buckets]string

// Input is the data that a snapshot is built from.
type Input struct {
	Self     string
	Zone     string
	Topology *topology.Map
	Members  []membership.Member
	Services []ServiceInput
}

// ServiceInput is a service's active configuration, and its assignment if it has a plan.
type ServiceInput struct {
	Spec     *model.Service
	Revision uint64
	Assign   map[string]*Assignment
}

// NewSnapshot builds a snapshot.
func NewSnapshot(in Input) *Snapshot {
	s := &Snapshot{
		Self:     in.Self,
		Zone:     in.Zone,
		Region:   in.Topology.RegionOf(in.Zone),
		Topology: in.Topology,
		Services: map[string]*ServiceView{},
		Boxes:    map[string][]*BoxView{},
	}
	for _, m := range in.Members {
		serving := m.State == membership.Live || m.State == membership.Leaving
		if m.Box == in.Self || (serving && m.Ready) {
			s.Boxes[m.Zone] = append(s.Boxes[m.Zone], newBoxView(m))
		}
	}
	for _, service := range in.Services {
		s.Services[service.Spec.Name] = s.newServiceView(service)
	}
	return s
}

func newBoxView(m membership.Member) *BoxView {
	b := &BoxView{
		Box: m.Box, Zone: m.Zone, Incarnation: m.Incarnation, AgeMS: m.AgeMS + m.SilentFor.Milliseconds(),
		hash: Hash(m.Box), Callers: m.Callers, Peers: m.Peers, Leaving: m.State != membership.Live || !m.Ready, Free: map[string]int{}, Share: map[string]int{},
	}
	share, inUse := 0, 0
	for _, l := range m.Load {
		b.Free[l.Service] = l.Share - l.InUse
		b.Share[l.Service] = l.Share
		share += l.Share
		inUse += l.InUse
	}
	if share > 0 {
		b.Load = float64(inUse) / float64(share)
	}
	return b
}

func (s *Snapshot) newServiceView(in ServiceInput) *ServiceView {
	v := &ServiceView{Spec: in.Spec, Revision: in.Revision, Zones: map[string]*ZoneView{}, Assign: in.Assign}
	for _, b := range in.Spec.BackendServers {
		region := s.Topology.RegionOf(b.Zone)
		if b.Leaving || !in.Spec.RegionAllowed(region) {
			continue
		}
		if v.Zones[b.Zone] == nil {
			v.Zones[b.Zone] = &ZoneView{Zone: b.Zone, Region: region}
		}
	}
	seen := map[string]bool{}
	for zone, z := range v.Zones {
		z.Homes = s.homes(zone, in.Spec.Name)
		for _, other := range s.Topology.Zones() {
			if len(s.Boxes[zone]) == 0 && other.Region == z.Region {
				z.Homes = append(z.Homes, s.homes(other.Zone, in.Spec.Name)...)
			}
		}
		if !seen[z.Region] {
			seen[z.Region] = true
			v.regions = append(v.regions, z.Region)
		}
	}
	sort.Strings(v.regions)
	return v
}

// homes returns the zone's boxes that hold a share of the service's slots. It always
// includes this box, which may queue requests and has the most recent information on its
// own share.
func (s *Snapshot) homes(zone, service string) []*BoxView {
	var homes []*BoxView
	for _, b := range s.Boxes[zone] {
		if b.Share[service] > 0 || b.Box == s.Self {
			homes = append(homes, b)
		}
	}
	return homes
}

// Hash is the hash that all decisions use. Its values must be the same on all boxes and
// in all versions.
func Hash(parts ...string) uint64 { return hashing.Of(parts...) }

func mix(x uint64) uint64 { return hashing.Mix(x) }
