package backend

import (
	"sort"
	"sync"
	"time"

	"github.com/stoneworks/stoneworks/pkg/canary"
	"github.com/stoneworks/stoneworks/pkg/policy"
	"github.com/stoneworks/stoneworks/pkg/rollout"
)

// Bounds are the bounds from the settings that choices keep.
type Bounds struct {
	// ColdOverage and ColdSlack bound the requests that a cold server gets in any second from all
	// boxes together: its rate x ColdOverage + ColdSlack.
	ColdOverage float64
	ColdSlack   float64
	// MaxShift is the largest share of a region's requests that may move to another region within
	// ShiftWindow.
	MaxShift    float64
	ShiftWindow time.Duration
	// MissingTTL is how long a server is kept after it vanished from a list that is not trusted.
	MissingTTL time.Duration
}

// ColdStartConfig is a service's configuration for its cold servers.
type ColdStartConfig struct {
	ColdStart     time.Duration
	ColdPerSecond float64
}

// Set holds the backend servers of all services.
type Set struct {
	Bounds Bounds
	// Policy holds the parameters of the choice; see SetPolicy.
	Policy policy.Policy
	// Zone and Region are those of this box.
	Zone   string
	Region string
	// RegionOf returns the region of a zone.
	RegionOf func(zone string) string
	// Boxes returns the number of boxes that share the rate of a cold server, or 0 if that is
	// unknown.
	Boxes func() int
	// Peers returns this box and the others that may send requests. It runs under the set's lock
	// and must not call the set.
	Peers func() (self Peer, others []Peer)
	// Trusted reports whether the list of servers is in step with the platform's.
	Trusted func() bool
	// Now is the clock; it must be monotonic.
	Now func() time.Time
	// OnChange is called when the set changes the state that it holds of a server.
	OnChange func(server Server, what string)
	// AnyLimited reports whether any server is known to have a rate limit, and HasLimit whether
	// one server does. Admit reports whether the limit of a server leaves room for one more
	// request, and when it will if it is denied. With ask false the answer is never
	// AdmissionUnknown; with yield true a server that has a limit is always denied. Release
	// returns what was granted and not used. All run under the set's lock and must not call the
	// set.
	AnyLimited func() bool
	HasLimit   func(server *Server) bool
	Admit      func(server *Server, ask, yield bool) (a Admission, retryAfter time.Duration)
	Release    func(server *Server)
	// IsLeaving reports whether an incarnation of a server has reported that it is leaving; see
	// MarkLeaving. It runs under the set's lock and must not call the set.
	IsLeaving func(incarnation string) bool
	// ReportFailure is called with what other boxes should know of a server. It runs under the
	// set's lock and must not call the set.
	ReportFailure func(f FailureReport)

	mu sync.Mutex
	// zoneAnsweredAt is when a server of each zone last answered this box.
	zoneAnsweredAt map[string]time.Time
	// near, far and zone are reused memory for candidates. skippedBackoffs describes the servers
	// that the last choice skipped for their backoff.
	near, far, zone []candidate
	short           [3]shortList
	skippedBackoffs skippedBackoffs
	// backedOff holds the servers that have asked this box for a backoff and do not get all their
	// requests yet.
	backedOff map[*server]bool
	servers   map[string]*server
	services  map[string]*group
	evacuated map[string]bool
	coldStart map[string]ColdStartConfig
	spill     spillGuard
	// missing holds the servers that have vanished from a list that is not trusted, by ID.
	missing map[string]*server
	// versions holds the services that are being moved to a version.
	versions map[string]rollout.Rule
}

// Listed and Cold are passed to OnChange for a server that was unknown and for one that has
// become cold. Both can come for thousands of servers at once.
const (
	Listed = "listed"
	Cold   = "cold"
)

// server is a backend server and what this box knows of it.
type server struct {
	Server
	region string
	hash   uint64
	group  *group

	// missingSince is when the server vanished from a list that is not trusted.
	missingSince time.Time
	// stale is true if the address now belongs to another server.
	stale bool
	// leaving is true if the server has reported in an answer that it is leaving.
	leaving bool

	coldUntil time.Time
	// refusedAt is when the server's port last refused a connection, or the server crashed during
	// a request; see mayHaveRestarted.
	refusedAt time.Time
	coldSends []time.Time
	// coldPlace is this box's place among those that may send to the server while it is cold, as
	// computed at coldPlaceAt.
	coldPlace   int
	coldPlaceAt time.Time

	health      health
	backoff     backoffState
	unconfirmed unconfirmedReport
	load        loadEstimate
	// keys is nil until the server is sent its first request, since most boxes of a zone serve no
	// clients.
	keys      *keyTable
	speed     speed
	shortages shortages
}

// group holds the servers of one service.
type group struct {
	service string
	servers []*server
	// regions holds the slots of each region of the servers, by name. They are recounted if
	// changed is true.
	regions []regionSlots
	changed bool
	locals  map[string]*localShare
	fills   fills
	// typical is the typical latency as computed at typicalAt.
	typical   time.Duration
	typicalAt time.Time
	// comparedAt is when the speeds of the servers were last compared.
	comparedAt time.Time
	// largeBodies is the share of requests with large bodies, as a moving average.
	largeBodies float64
	versions    versionSlots
	// draw chooses the requests for a version.
	draw canary.Draw
	// index holds the servers for choices. It is valid if isIndexed is true. isWeighted is true
	// if not all weights are 1.
	index      []indexEntry
	isIndexed  bool
	isWeighted bool
}

// NewSet returns a set without servers.
func NewSet(bounds Bounds, zone string, regionOf func(string) string, boxes func() int, now func() time.Time) *Set {
	return &Set{
		Bounds: bounds, Policy: policy.Default(), Zone: zone, Region: regionOf(zone), RegionOf: regionOf, Boxes: boxes, Now: now,
		Peers:          func() (Peer, []Peer) { return Peer{}, nil },
		Trusted:        func() bool { return true },
		OnChange:       func(Server, string) {},
		ReportFailure:  func(FailureReport) {},
		AnyLimited:     func() bool { return false },
		HasLimit:       func(*Server) bool { return false },
		Admit:          func(*Server, bool, bool) (Admission, time.Duration) { return Unlimited, 0 },
		Release:        func(*Server) {},
		IsLeaving:      func(string) bool { return false },
		zoneAnsweredAt: map[string]time.Time{},
		servers:        map[string]*server{},
		services:       map[string]*group{},
		evacuated:      map[string]bool{},
		coldStart:      map[string]ColdStartConfig{},
		backedOff:      map[*server]bool{},
		missing:        map[string]*server{},
	}
}

// SetServices sets the configuration of the services' cold servers.
func (s *Set) SetServices(configs map[string]ColdStartConfig) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldStart = configs
}

// SetPolicy replaces the policy while the set is in use.
func (s *Set) SetPolicy(p policy.Policy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Policy = p
}

// ----------------------------------------------------------------
// The list of servers
// ----------------------------------------------------------------

// Replace replaces the whole list of servers. If trusted is false, servers that are not on the
// list are kept for Bounds.MissingTTL, since a platform that has just come back may have lost
// entries of healthy servers.
func (s *Set) Replace(list []Server, trusted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	listed := map[string]bool{}
	for _, v := range list {
		listed[v.ID] = true
		s.put(v)
	}
	for id := range s.servers {
		if !listed[id] {
			s.remove(id, trusted)
		}
	}
}

// Put adds or updates one server.
func (s *Set) Put(v Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(v)
}

// Remove drops a server that is no longer listed; see Replace.
func (s *Set) Remove(id string, trusted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(id, trusted)
}

func (s *Set) put(v Server) {
	old := s.servers[v.ID]
	if old != nil && old.StartedAtMs != v.StartedAtMs {
		// The server has restarted: it has lost its state, and nothing that was known of it holds
		// any more. Requests that chose the earlier incarnation choose again.
		s.leave(old)
		s.OnChange(v, "restarted")
		old = nil
	}
	if old == nil {
		old = &server{hash: Hash(v.ID), leaving: s.IsLeaving(v.Incarnation())}
		s.servers[v.ID] = old
		s.OnChange(v, Listed)
	}
	if old.Server != v && v.Draining && !old.Draining {
		s.OnChange(v, "draining")
	}
	cold := v.ColdFor != old.ColdFor
	old.Server = v
	if cold {
		s.markCold(old, v.ColdFor)
	}
	old.region = s.RegionOf(v.Zone)
	old.missingSince = time.Time{}
	delete(s.missing, v.ID)
	s.join(old)
	old.group.changed = true
	old.group.isIndexed = false
}

// join adds the server to its service's group, in the order of IDs.
func (s *Set) join(v *server) {
	if v.group != nil && v.group.service == v.Service {
		return
	}
	s.leave(v)
	g := s.services[v.Service]
	if g == nil {
		g = &group{service: v.Service, locals: map[string]*localShare{}}
		s.services[v.Service] = g
	}
	at := sort.Search(len(g.servers), func(i int) bool { return g.servers[i].ID >= v.ID })
	g.servers = append(g.servers, nil)
	copy(g.servers[at+1:], g.servers[at:])
	g.servers[at] = v
	v.group = g
}

func (s *Set) leave(v *server) {
	if v.group == nil {
		return
	}
	for i, other := range v.group.servers {
		if other == v {
			v.group.servers = append(v.group.servers[:i:i], v.group.servers[i+1:]...)
			break
		}
	}
	v.group.changed = true
	v.group.isIndexed = false
	v.group = nil
	delete(s.backedOff, v)
}

func (s *Set) remove(id string, trusted bool) {
	v := s.servers[id]
	if v == nil {
		return
	}
	if trusted || v.Draining || v.leaving {
		s.leave(v)
		delete(s.servers, id)
		delete(s.missing, id)
		s.OnChange(v.Server, "gone")
		return
	}
	if v.missingSince.IsZero() {
		v.missingSince = s.Now()
		s.missing[id] = v
		s.OnChange(v.Server, "missing")
	}
}

// Expire drops the servers that have been missing for too long. It has to be called regularly.
func (s *Set) Expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, v := range s.missing {
		if s.forgotten(v) {
			s.remove(id, true)
		}
	}
}

// SetEvacuated sets the zones whose servers get no requests. Servers of a zone that is no longer
// evacuated count as cold, since they may have been emptied.
func (s *Set) SetEvacuated(zones []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	evacuated := map[string]bool{}
	for _, z := range zones {
		evacuated[z] = true
	}
	for _, v := range s.servers {
		if s.evacuated[v.Zone] && !evacuated[v.Zone] {
			s.markCold(v, s.coldStart[v.Service].ColdStart)
		}
	}
	s.evacuated = evacuated
	for _, g := range s.services {
		g.changed = true
	}
}

// List returns the listed servers, ordered by ID.
func (s *Set) List() []Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]Server, 0, len(s.servers))
	for _, v := range s.servers {
		if v.missingSince.IsZero() {
			out := v.Server
			out.ColdFor = max(0, v.coldUntil.Sub(s.Now()))
			list = append(list, out)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// HasServers reports whether any service has a server that may get requests.
func (s *Set) HasServers() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range s.servers {
		if s.usable(v) {
			return true
		}
	}
	return false
}

// usable reports whether the server may get requests at all.
func (s *Set) usable(v *server) bool {
	return !v.Draining && !v.leaving && !v.stale && !s.evacuated[v.Zone] && !s.forgotten(v)
}

// forgotten reports whether the server has been missing for longer than MissingTTL.
func (s *Set) forgotten(v *server) bool {
	return !v.missingSince.IsZero() && s.Now().Sub(v.missingSince) > s.Bounds.MissingTTL
}
