// Package node assembles one box: it follows the platform's store, exchanges heartbeats with
// other boxes, maintains the current configuration and list of backend servers, and opens the
// ports. The decisions themselves are made in other packages.
package node

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"

	"github.com/stoneworks/stoneworks/pkg/backend"
	"github.com/stoneworks/stoneworks/pkg/clock"
	"github.com/stoneworks/stoneworks/pkg/customer"
	"github.com/stoneworks/stoneworks/pkg/customerstats"
	"github.com/stoneworks/stoneworks/pkg/directory"
	"github.com/stoneworks/stoneworks/pkg/exchange"
	"github.com/stoneworks/stoneworks/pkg/failurereport"
	"github.com/stoneworks/stoneworks/pkg/gossip"
	"github.com/stoneworks/stoneworks/pkg/heads"
	"github.com/stoneworks/stoneworks/pkg/ingress"
	"github.com/stoneworks/stoneworks/pkg/logging"
	"github.com/stoneworks/stoneworks/pkg/objects"
	"github.com/stoneworks/stoneworks/pkg/pipeline"
	"github.com/stoneworks/stoneworks/pkg/policy"
	"github.com/stoneworks/stoneworks/pkg/quarantine"
	"github.com/stoneworks/stoneworks/pkg/quota"
	"github.com/stoneworks/stoneworks/pkg/relay"
	"github.com/stoneworks/stoneworks/pkg/replica"
	"github.com/stoneworks/stoneworks/pkg/retry"
	"github.com/stoneworks/stoneworks/pkg/rollout"
	"github.com/stoneworks/stoneworks/pkg/routing"
	"github.com/stoneworks/stoneworks/pkg/serverstatus"
	"github.com/stoneworks/stoneworks/pkg/settings"
	"github.com/stoneworks/stoneworks/pkg/timer"
	"github.com/stoneworks/stoneworks/pkg/topology"
	"github.com/stoneworks/stoneworks/pkg/tunnel"
	"github.com/stoneworks/stoneworks/pkg/utilization"
)

// Adapter is what a platform's adapter provides.
type Adapter struct {
	// Kinds are the names of the kinds of objects in the store.
	Kinds replica.Kinds
	// HoldsKind is the name of the kind in which boxes store the requests that they hold, so
	// that these outlast the loss of all boxes.
	HoldsKind string
	// Store creates the client of the store.
	Store func(o objects.ClientOptions) *objects.Client
	// Configuration reads a configuration object of the store.
	Configuration func(o objects.Object) (*routing.Configuration, error)
	// Server reads a backend server object. It also reports whether the object may have fields
	// that it does not read.
	Server func(o objects.Object) (v backend.Server, hasUnread bool, err error)
	// Rollout reads an order to move a service to a version; RolloutStatus returns its state in
	// the form that is written to the store.
	Rollout       func(o objects.Object) (rollout.Order, error)
	RolloutStatus func(c *rollout.Change) any
	// UnreadFields returns the fields of an object that none of these functions reads.
	UnreadFields func(kind string, o objects.Object) []string
	// Dialect defines the platform's headers.
	Dialect *ingress.Dialect
	// Readiness and Directory answer the platform's readiness checks and the clients' queries
	// for boxes.
	Readiness func(ready func() bool) HTTPHandler
	Directory func(resolve func(directory.Query) directory.Answer) HTTPHandler
}

// Node is one box.
type Node struct {
	Settings *settings.Settings
	Topology *topology.Map
	Timers   *timer.Service
	Clock    *clock.Clock
	Metrics  metrics.Registry

	Members *gossip.Table
	Replica *replica.Replica
	Set     *backend.Set
	Budget  *retry.Budget
	Quota   *quota.Limiter
	// Quarantine holds what is known of requests that crash backend servers.
	Quarantine *quarantine.Table
	// Statuses holds what backend servers report about themselves.
	Statuses *serverstatus.Table
	// Rollouts holds the orders to move services to new versions.
	Rollouts *rollout.Table
	// rolloutTicks counts the calls of tickRollouts. rolloutRules is held while rules are applied.
	rolloutTicks int
	rolloutRules sync.Mutex
	Ledger       *customerstats.Ledger
	Directory    *directory.Directory
	Ingress      *ingress.Server
	// Utilization is how much of its machine the box uses.
	Utilization *utilization.Meter
	// Relay opens connections to backend servers, and tunnels does so for other boxes.
	Relay   *relay.Dialer
	tunnels *tunnel.Server
	// Connect opens a TCP connection to an address. Tests replace it to simulate failing links.
	Connect func(ctx context.Context, address string) (net.Conn, error)

	adapter *Adapter
	store   *objects.Client
	handler *logging.AsyncHandler
	log     *logging.Logger
	started time.Time
	// resumed is when the box last resumed after a pause that was longer than it remembers other
	// boxes, in nanoseconds since the start.
	resumed atomic.Int64
	table   atomic.Pointer[routing.Table]
	seeds   atomic.Pointer[[]string]
	policy  atomic.Pointer[policy.Policy]

	// compressed caches whole mirrors in the form in which they are sent, and announced is the
	// state that this box last announced.
	compressed compressedMirrors
	announced  announcedState
	// failureReports are the reports about backend servers that other boxes are to receive.
	failureReports *failurereport.Outbox
	crashes        crashChecks
	// crashSendPending: records of crashes are about to be sent to other boxes.
	crashSendPending atomic.Bool
	// lastRequest is when a client last sent a request, in nanoseconds since the start.
	lastRequest atomic.Int64
	// readySince is when the box last became ready, in nanoseconds since the start.
	readySince atomic.Int64

	quotaCache quotaViewCache
	// peerList holds the other boxes as the choice of servers sees them; see peers.
	peerList peerList
	// unreadNames are the names of headers and fields that nothing reads and that have been
	// logged.
	unreadNames unreadNames
	// listedLines bounds the log lines about servers that are listed or cold.
	listedLines lineBudget
	// malformedHeaders bounds the log lines about headers that cannot be read.
	malformedHeaders logLimiter
	// configurationFields bounds how often configurations are checked for unread fields.
	configurationFields logLimiter
	// membersChanged: a box has appeared, gone or come back since quotaView last looked.
	membersChanged atomic.Bool
	// statusChanged: a backend server's reported status has changed since it was last sent to
	// other boxes.
	statusChanged atomic.Bool
	// refused are the customers that have a metric of their own for refusals, and timed the services
	// that have one for the time of requests.
	refused, timed metricNames

	leaving atomic.Bool
	closed  atomic.Bool
	// stopping is the planned stop, nil if there is none.
	stopping atomic.Pointer[ingress.Stop]
	ready    atomic.Bool
	inFlight atomic.Int64

	mu    sync.Mutex
	pools map[poolKey]*exchange.Pool
	idle  *exchange.IdleLimit

	utilizationLog *logging.Logger
	traffic        traffic
	// bodies bounds the request bodies that the box holds.
	bodies utilization.Bodies
	// heads bounds the heads of requests that the box holds.
	heads     heads.Account
	headLines stateLines

	ports      *ports
	background *conc.WaitGroup
	context    context.Context
	stop       context.CancelFunc
}

// New creates a box. Nothing runs before Start.
func New(s *settings.Settings, adapter *Adapter, handler *logging.AsyncHandler, c *clock.Clock) *Node {
	logger := logging.New(handler, logging.ParseLevel(s.LogLevel))
	started := c.Now()
	n := &Node{
		Settings: s,
		Topology: topology.New(s.Zones, nil),
		Timers:   timer.New(),
		Clock:    c,
		Metrics:  metrics.NewRegistry(),
		adapter:  adapter,
		handler:  handler,
		log:      logging.For(logger, "box"),
		started:  started,
		pools:    map[poolKey]*exchange.Pool{},
		idle:     exchange.NewIdleLimit(c.Now),
		Ledger:   customerstats.NewLedger(c.Now),
		ports:    &ports{},
	}
	n.Timers.Now = c.Now
	n.Connect = n.connect
	n.watchSuspensions()
	n.failureReports = &failurereport.Outbox{Box: s.Box, Now: n.Clock.Now}
	n.background = conc.NewWaitGroup()
	n.context, n.stop = context.WithCancel(context.Background())
	n.seeds.Store(&s.Seeds)
	n.logIdleLimits(logging.For(logger, "connections"))
	n.newUtilization(s.Machine, logging.For(logger, "machine"))
	n.newMembers(logging.For(logger, "members"))
	n.newSet(logging.For(logger, "backend"))
	n.newRelay(logging.For(logger, "relay"))
	n.setPolicy(s.Policy)
	n.Budget = retry.NewBudget(retry.Bounds{
		Ratio: s.Bounds.RetryRatio, Slack: s.Bounds.RetrySlack, Window: s.Bounds.RetryWindow,
	}, n.boxCount, n.Clock.Now)
	n.Directory = &directory.Directory{
		TTL: min(preferredTTL, s.LookupTTL), StandbyTTL: min(standbyTTL, s.LookupTTL), RegionOf: n.Topology.RegionOf,
		Self: n.Members.Self, EachBox: n.Members.EachPossibleSender, RegionAllowed: n.hostAllowed,
		Generation: n.Members.Generation, Now: n.Clock.Now,
	}
	n.newReplica(logging.For(logger, "store"))
	n.newQuota()
	n.newQuarantine(logging.For(logger, "quarantine"))
	n.newRollouts()
	n.newLimits(logging.For(logger, "limits"))
	n.newIngress(logging.For(logger, "request"))
	return n
}

const (
	// preferredTTL is how long clients keep an answer of the directory if the settings allow it:
	// long enough that they ask rarely, short enough that they leave a stopping box in time.
	preferredTTL = 3 * time.Second
	// standbyTTL is the same for answers that name standby boxes. Clients that ask when all boxes
	// near them have ended wait for an answer that does not come, and longer answers spare more
	// of them that.
	standbyTTL = 5 * time.Second
	// propagationTime is how long it may take until a change in the store reaches a box: changes
	// are batched for 0.6 s, announced to the zone within 0.1 s, and then fetched.
	propagationTime = time.Second
	// relistTime is the time within which a running server is listed in the store again once the
	// store answers again.
	relistTime = 2 * time.Second
	// settleTime is how long a box that has started, or has paused for so long that it has
	// forgotten the others, listens before it trusts its count of boxes.
	settleTime = 4 * gossip.Interval
)

// forgetAfter returns how long a server is kept that vanished while the store could not be
// trusted, given the time in which servers drain. The server may really have left, so this time
// plus propagationTime must not exceed the drain time.
func forgetAfter(drain time.Duration) time.Duration {
	return max(0, min(relistTime, drain-propagationTime))
}

// boxCount returns the number of boxes that share bounds, 0 while it is not known.
func (n *Node) boxCount() int {
	if n.uptime()-time.Duration(n.resumed.Load()) < settleTime {
		return 0
	}
	return n.Members.Count()
}

// peersEvery is how often the list of other boxes is refreshed for the choice of servers: as
// often as heartbeats arrive.
const peersEvery = gossip.Interval

// peerList is this box and the others as of time at.
type peerList struct {
	self backend.Peer
	list []backend.Peer
	at   time.Time
}

// peers returns this box and the others that may send requests. The set calls it, one call at a
// time.
func (n *Node) peers() (self backend.Peer, others []backend.Peer) {
	p := &n.peerList
	if now := n.Clock.Now(); p.at.IsZero() || now.Sub(p.at) >= peersEvery {
		p.at = now
		n.listPeers(p)
	}
	return p.self, p.list
}

// listPeers refreshes the list. Advertised marks the boxes that the directory names to clients:
// the largest boxes of a zone that accept requests; see package directory.
func (n *Node) listPeers(p *peerList) {
	p.list = p.list[:0]
	zones, regions := map[string]directory.Sizes{}, map[string]directory.Sizes{}
	var capacities []float64
	add := func(r *gossip.Record, live bool) backend.Peer {
		capacity, region := -1.0, n.Topology.RegionOf(r.Zone)
		if live && r.Ready && !r.Leaving {
			capacity = r.Capacity
			zones[r.Zone] = zones[r.Zone].With(capacity)
			regions[region] = regions[region].With(capacity)
		}
		capacities = append(capacities, capacity)
		return backend.Peer{Zone: r.Zone, Region: region, Hash: backend.Hash(r.Box)}
	}
	own := n.Members.Self()
	p.self = add(&own, true)
	n.Members.EachPossibleSender(func(r *gossip.Record, live bool) { p.list = append(p.list, add(r, live)) })
	mark := func(peer *backend.Peer, capacity float64) {
		peer.Advertised = capacity >= 0 && directory.IsLarge(capacity, zones[peer.Zone], regions[peer.Region])
	}
	mark(&p.self, capacities[0])
	for i := range p.list {
		mark(&p.list[i], capacities[i+1])
	}
}

func (n *Node) newMembers(log *logging.Logger) {
	s := n.Settings
	self := gossip.Record{
		Box: s.Box, Zone: s.Zone, Clients: s.Advertise.Callers, Peers: s.Advertise.Peers,
		Started: n.started.UnixNano(), Capacity: capacityOf(s.Machine),
	}
	n.Members = gossip.NewTable(self, n.Clock.Now, rand.IntN)
	n.Members.Seeds = func() []string { return *n.seeds.Load() }
	n.Members.OnChange = func(r gossip.Record, what string) {
		n.membersChanged.Store(true)
		log.Info("box "+what, map[string]any{"box": r.Box, "zone": r.Zone, "beat": r.Sequence})
	}
}

func (n *Node) newSet(log *logging.Logger) {
	b := n.Settings.Bounds
	n.Set = backend.NewSet(backend.Bounds{
		ColdOverage: b.ColdOverage, ColdSlack: b.ColdSlack,
		MaxShift: b.MaxShift, ShiftWindow: b.ShiftWindow, MissingTTL: forgetAfter(b.Drain),
	}, n.Settings.Zone, n.Topology.RegionOf, n.boxCount, n.Clock.Now)
	n.Set.Peers = n.peers
	n.Set.Trusted = func() bool { return n.Replica.TrustsList() }
	n.Set.ReportFailure = n.failureReports.Add
	n.Set.OnChange = func(v backend.Server, what string) {
		if (what == backend.Listed || what == backend.Cold) && !n.listedLines.allow(n.uptime()) {
			return
		}
		log.Info("server "+what, map[string]any{
			"server": v.ID, "service": v.Service, "address": v.Address, "zone": v.Zone, "cold_ms": v.ColdFor.Milliseconds(),
		})
	}
}

// setPolicy applies the parameters of the policy.
func (n *Node) setPolicy(p policy.Policy) {
	n.policy.Store(&p)
	n.Set.SetPolicy(p)
}

func (n *Node) newIngress(log *logging.Logger) {
	n.Ingress = &ingress.Server{
		Policy:           n.policy.Load,
		Dialect:          n.adapter.Dialect,
		Table:            n.table.Load,
		Current:          n.Replica.Current,
		Starting:         n.starting,
		IsReturn:         pipeline.IsFirst,
		Leaving:          n.leaving.Load,
		Closed:           n.closed.Load,
		Stop:             n.plannedStop,
		Splitter:         routing.NewSplitter(),
		Set:              n.Set,
		Budget:           n.Budget,
		Admit:            n.admit,
		KeysTrusted:      n.keysTrusted,
		ReturnAdmission:  func(c *customer.Customer) { n.Quota.GiveBack(quota.IDOf(c.Name)) },
		Admission:        n.bodies.Reserve,
		Release:          n.bodies.Release,
		AsksToClose:      n.asksToClose,
		AwaitServerLimit: n.awaitRoom, ReleaseServerLimit: n.releaseRoom,
		ObserveTarget:        func(c *customer.Customer, inTime bool) { n.Ledger.Record(c.Name, inTime) },
		Pool:                 n.pool,
		Restriction:          n.restriction,
		ObserveDirectAnswer:  func(server *backend.Server) { n.Relay.Paths.ObserveAnswer(server.Address) },
		IsPathLost:           n.isPathLost,
		HasCrashed:           n.hasCrashed,
		ObserveCrash:         n.noteCrash,
		ObserveRelease:       n.removeHold,
		Quarantine:           n.Quarantine,
		ObserveAnswer:        n.noteAnswer,
		ObserveAttempt:       n.noteAttempt,
		ObserveUnknownHeader: n.logUnreadHeader,
		Background:           n.background.Go,
		Now:                  n.Clock.Now,
		SyncClock:            n.Clock.Sync,
		Random:               rand.Uint64,
		Log:                  log,
		Count:                func(name string) { metrics.GetOrRegisterCounter(name, n.Metrics).Inc(1) },
		Observe:              n.observeRequest,
	}
}

// uptime returns how long this incarnation of the box has been running.
func (n *Node) uptime() time.Duration { return n.Clock.Since(n.started) }

// revokeMargin is how much earlier than the bound a box stops trusting its keys, because a
// confirmation may have been in transit for that long.
const revokeMargin = 500 * time.Millisecond

// keysTrusted reports whether the keys of the configuration are still accepted. If the settings
// enforce revocation, a revoked key is accepted no longer than the bound; otherwise it is
// accepted until the box learns of the revocation.
func (n *Node) keysTrusted() bool {
	b := n.Settings.Bounds
	if !b.EnforceRevocation {
		return true
	}
	ago, ok := n.Replica.ConfigurationAge()
	return ok && ago <= b.Revoke-min(revokeMargin, b.Revoke/2)
}

// hostAllowed reports whether all routes of the host are known to allow the region.
func (n *Node) hostAllowed(host, region string) bool {
	t := n.table.Load()
	if t == nil {
		return false
	}
	routes := t.HostRoutes(host)
	for _, r := range routes {
		if !r.RegionAllowed(region) {
			return false
		}
	}
	return true
}

// starting returns how long the box has been starting, or 0 if it has been ready.
func (n *Node) starting() time.Duration {
	if n.readySince.Load() != 0 {
		return 0
	}
	return n.uptime()
}

// Ready reports whether the box can serve requests.
func (n *Node) Ready() bool { return n.ready.Load() && !n.leaving.Load() }

// checkReady updates whether the box can serve requests: it needs a configuration, backend
// servers and the list of evacuations.
func (n *Node) checkReady() {
	ready := n.table.Load() != nil && n.Set.HasServers() && n.Replica.Mirror(n.adapter.Kinds.Evacuations).Synced()
	if ready != n.ready.Swap(ready) {
		n.readySince.Store(int64(n.uptime()))
		n.log.Info("readiness changed", map[string]any{"ready": ready})
	}
}
