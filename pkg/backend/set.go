package backend

import (
	"sort"
	"sync"
	"time"

	"github.com/stoneworks/stoneworks/pkg/policy"
	"github.com/stoneworks/stoneworks/pkg/rollout"
)

// Bounds are the bounds that hold for choices, from the settings.
type Bounds struct {
	// ColdOverage and ColdSlack bound what a cold server gets in any second
	// from all boxes together: its rate x ColdOverage + ColdSlack.
	ColdOverage float64
	ColdSlack   float64
	// MaxShift is the largest share of a region's requests that may change
	// the region in which they run within ShiftWindow.
	MaxShift    float64
	ShiftWindow time.Duration
	// MissingTTL is for how long a server is kept that vanished from the list
	// while the list could not be trusted.
	MissingTTL time.Duration
}

// ColdStartConfig are what a configuration says of a service's cold servers.
type ColdStartConfig struct {
	ColdStart     time.Duration
	ColdPerSecond float64
}

// Set holds the backend servers of all services.
type Set struct {
	Bounds Bounds
	// Policy holds the figures of the choice; see SetPolicy.
	Policy policy.Policy
	// Zone and Region are the box's own.
	Zone   string
	Region string
	// RegionOf returns the region of a zone.
	RegionOf func(zone string) string
	// Boxes returns among how many boxes a cold server's rate is divided; 0
	// when that is not known.
	Boxes func() int
	// Peers returns this box and the others that may send requests. It runs under the set's lock
	// and must not call it.
	Peers func() (self Peer, others []Peer)
	// Trusted reports whether the list of servers follows the platform's.
	Trusted func() bool
	// Now is the clock; it must be monotonic.
	Now func() time.Time
	// OnChange is told what the set came to believe of a server.
	OnChange func(server Server, what string)
	// AnyLimited reports whether any server is known to name a limit, NamesLimit whether one does, and
	// Admit whether that of a server leaves room for one more request, and when it will where it is
	// denied. With ask
	// false the answer is not Open, and with yield set a server that names a limit is denied,
	// whatever it has room for. Release gives back what was granted and not used. All run
	// under the set's lock and must not call it.
	AnyLimited func() bool
	HasLimit   func(server *Server) bool
	Admit      func(server *Server, ask, yield bool) (a Admission, roomIn time.Duration)
	Release    func(server *Server)
	// IsLeaving reports whether a life of a server has said that it leaves; see Leave. It runs under
	// the set's lock and must not call it.
	IsLeaving func(life string) bool
	// ReportFailure is told what other boxes should know of a server. It runs under the
	// set's lock and must not call it.
	ReportFailure func(f FailureReport)

	mu sync.Mutex
	// zoneHeard is when a server of a zone last answered this box.
	zoneHeard map[string]time.Time
	// near and far are the room of candidates, and resting what the last choice passed over.
	near, far, zone []candidate
	short           [3]shortList
	skippedBackoffs skippedBackoffs
	// backedOff are the servers that have asked this box for rest and may not yet be sent requests as before.
	backedOff map[*server]bool
	servers   map[string]*server
	services  map[string]*group
	evacuated map[string]bool
	terms     map[string]ColdStartConfig
	spill     spillGuard
	// missing are the servers that have vanished from a list that is not trusted, by ID.
	missing map[string]*server
	// versions are the services that are being moved to a version.
	versions map[string]rollout.Rule
	// versionDraws counts the requests for which a version was drawn.
	versionDraws uint64
}

// Listed and Cold are what Changed is told of a server that was not known, and of one that has started. Both
// come for thousands at once.
const (
	Listed = "listed"
	Cold   = "cold"
)

// server is a backend server with what this box knows of it.
type server struct {
	Server
	region string
	hash   uint64
	group  *group

	// missing is when the server vanished from a list that is not trusted.
	missing time.Time
	// stale: the address belongs to another server now.
	stale bool
	// leaving: it has said that it leaves, in answers.
	leaving bool

	coldUntil time.Time
	// refused is when its port last refused a connection, or it crashed under a request; see
	// mayHaveStartedAgain.
	refused   time.Time
	coldSends []time.Time
	// coldPlace is this box's place among those that may send to the server while it is cold, as of
	// coldPlaceAt.
	coldPlace   int
	coldPlaceAt time.Time

	health      health
	backoff     backoffState
	unconfirmed unconfirmedReport
	load        loadEstimate
	// keys is nil until the server is sent its first request: most boxes of a
	// zone serve no clients.
	keys  *keyTable
	speed speed
	order shortages
}

// group is the servers of one service.
type group struct {
	service string
	servers []*server
	// regions are the regions of its servers by name, to be counted anew if
	// changed is true.
	regions []regionSlots
	changed bool
	locals  map[string]*localShare
	fills   fills
	// typical is the typical latency as of typicalAt.
	typical   time.Duration
	typicalAt time.Time
	// comparedAt is when the servers' speeds were last compared.
	comparedAt time.Time
	// heavy is the share of heavy requests, as a moving average.
	heavy    float64
	versions versionSlots
	// index holds the servers for choices, if isIndexed; isWeighted: their weights are not all 1.
	index      []indexEntry
	isIndexed  bool
	isWeighted bool
}

// NewSet makes a set without servers.
func NewSet(terms Bounds, zone string, regionOf func(string) string, boxes func() int, now func() time.Time) *Set {
	return &Set{
		Bounds: terms, Policy: policy.Default(), Zone: zone, Region: regionOf(zone), RegionOf: regionOf, Boxes: boxes, Now: now,
		Peers:         func() (Peer, []Peer) { return Peer{}, nil },
		Trusted:       func() bool { return true },
		OnChange:      func(Server, string) {},
		ReportFailure: func(FailureReport) {},
		AnyLimited:    func() bool { return false },
		HasLimit:      func(*Server) bool { return false },
		Admit:         func(*Server, bool, bool) (Admission, time.Duration) { return Unlimited, 0 },
		Release:       func(*Server) {},
		IsLeaving:     func(string) bool { return false },
		zoneHeard:     map[string]time.Time{},
		servers:       map[string]*server{},
		services:      map[string]*group{},
		evacuated:     map[string]bool{},
		terms:         map[string]ColdStartConfig{},
		backedOff:     map[*server]bool{},
		missing:       map[string]*server{},
	}
}

// SetServices sets what the configuration says of the services.
func (s *Set) SetServices(terms map[string]ColdStartConfig) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.terms = terms
}

// SetPolicy puts figures in force while the set is in use.
func (s *Set) SetPolicy(p policy.Policy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Policy = p
}

// ----------------------------------------------------------------
// The list of servers
// ----------------------------------------------------------------

// Replace puts a whole list in the place of what was known. With trusted
// false, servers that are not on the list are kept for Terms.Forget: a
// platform that has just come back may have lost entries of servers that are
// well.
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

// Put adds or changes one server.
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
		// It has started again and knows nothing of before, nor does anything hold that was
		// known of it; what was chosen for its earlier life is chosen anew.
		s.leave(old)
		s.OnChange(v, "started again")
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
	old.missing = time.Time{}
	delete(s.missing, v.ID)
	s.join(old)
	old.group.changed = true
	old.group.isIndexed = false
}

// join puts the server into its service's group, in the order of IDs.
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
	if v.missing.IsZero() {
		v.missing = s.Now()
		s.missing[id] = v
		s.OnChange(v.Server, "missing")
	}
}

// Expire drops servers that have been missing for too long. Call it from time
// to time.
func (s *Set) Expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, v := range s.missing {
		if s.forgotten(v) {
			s.remove(id, true)
		}
	}
}

// SetEvacuated sets the zones whose servers get nothing. Servers of a zone
// that is taken back are taken to be cold: they may have been emptied.
func (s *Set) SetEvacuated(zones []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	evacuated := map[string]bool{}
	for _, z := range zones {
		evacuated[z] = true
	}
	for _, v := range s.servers {
		if s.evacuated[v.Zone] && !evacuated[v.Zone] {
			s.markCold(v, s.terms[v.Service].ColdStart)
		}
	}
	s.evacuated = evacuated
	for _, g := range s.services {
		g.changed = true
	}
}

// List returns the servers that are listed, by ID.
func (s *Set) List() []Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]Server, 0, len(s.servers))
	for _, v := range s.servers {
		if v.missing.IsZero() {
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

// forgotten reports whether the server has been missing for too long.
func (s *Set) forgotten(v *server) bool {
	return !v.missing.IsZero() && s.Now().Sub(v.missing) > s.Bounds.MissingTTL
}
