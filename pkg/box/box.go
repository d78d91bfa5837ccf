// Package box assembles one box from its components: its four ports, its timers,
// and the data that the components exchange.
package box

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/gofiber/fiber/v3"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"

	"github.com/stoneworks/stoneworks/pkg/admission"
	"github.com/stoneworks/stoneworks/pkg/config"
	"github.com/stoneworks/stoneworks/pkg/decide"
	"github.com/stoneworks/stoneworks/pkg/entry"
	"github.com/stoneworks/stoneworks/pkg/exchange"
	"github.com/stoneworks/stoneworks/pkg/idempotency"
	"github.com/stoneworks/stoneworks/pkg/logging"
	"github.com/stoneworks/stoneworks/pkg/membership"
	"github.com/stoneworks/stoneworks/pkg/model"
	"github.com/stoneworks/stoneworks/pkg/peer"
	"github.com/stoneworks/stoneworks/pkg/platform"
	"github.com/stoneworks/stoneworks/pkg/rpc"
	"github.com/stoneworks/stoneworks/pkg/settings"
	"github.com/stoneworks/stoneworks/pkg/shift"
	"github.com/stoneworks/stoneworks/pkg/slots"
	"github.com/stoneworks/stoneworks/pkg/timer"
	"github.com/stoneworks/stoneworks/pkg/topology"
)

// Box is one running box.
type Box struct {
	Settings    *settings.Settings
	Incarnation string
	Topology    *topology.Map
	Table       *membership.Table
	Store       *config.Store
	Writer      *config.Writer
	Platform    *platform.Client
	Exchanger   *peer.Exchanger
	Entry       *entry.Handler
	Idempotency *idempotency.Table
	Timers      *timer.Service
	Metrics     metrics.Registry
	// NewPool creates the connection pool of one address, and NewGate the gate of
	// one service. Tests replace them.
	NewPool func(address string, maxIdle int) *exchange.Pool
	NewGate func() *admission.Gate
	// UsableSlots returns how many of a server's slots this box may use.
	UsableSlots func(box, server string, slots int, own []slots.VersionedView, others []slots.PeerReport) int
	// ShiftCap returns the share of a service's traffic that may change region in
	// one window.
	ShiftCap func(*model.Service) float64
	// LeaveSteps are the steps of a planned stop, in order.
	LeaveSteps []LeaveStep

	handler *logging.AsyncHandler
	logger  *log.Logger
	log     *logging.Logger

	started  time.Time
	version  atomic.Uint64
	snapshot atomic.Pointer[decide.Snapshot]
	// leaving, closed and slotsReleased are set in turn during a planned stop:
	// look-ups no longer return this box; it refuses new requests; it holds no
	// slots but those of requests in flight.
	leaving       atomic.Bool
	closed        atomic.Bool
	slotsReleased atomic.Bool
	inFlight      atomic.Int64
	// confirmed is false while this box may not use its share of the slots,
	// because it was suspended and other boxes may have taken the share over.
	confirmed atomic.Bool
	// hadExcess is set while this box uses more than its share of some server.
	hadExcess atomic.Bool
	// seedsAsked is set when the seeds have been asked for their configuration.
	seedsAsked atomic.Bool
	platformContact

	operators *rpc.Operators
	apps      []*fiber.App
	dialer    *net.Dialer

	region string
	// rebuildMu serializes rebuilds, so that an older view never replaces a newer
	// one.
	rebuildMu sync.Mutex
	// selfRecordMu keeps this box's own records in the order of their versions.
	selfRecordMu sync.Mutex

	mu sync.Mutex
	// ownViews are this box's active views of slots, and seenViews the versions of
	// other boxes' views. The gates apply both, and heartbeats report them.
	ownViews  []membership.SlotViews
	seenViews map[string]uint64
	// appliedViews holds, by box, which views of the region's other boxes the gates
	// apply.
	appliedViews map[string]appliedView
	gates        map[string]*admission.Gate
	migrators    map[string]*shift.Migrator
	// planSeen holds when this box first saw each service's present plan.
	planSeen map[string]seenPlan
	pools    map[string]*exchange.Pool
	peers    map[string]*exchange.Pool

	// background holds the goroutines that run until Stop.
	background       *conc.WaitGroup
	context          context.Context
	stop             context.CancelFunc
	rebuildRequested chan struct{}
}

// platformContact records when the platform last answered, as an age of the box.
type platformContact struct {
	lastAnswer atomic.Int64
}

// New creates a box from its settings. Nothing runs before Start.
func New(s *settings.Settings, handler *logging.AsyncHandler) *Box {
	level, err := log.ParseLevel(s.LogLevel)
	if err != nil {
		level = log.InfoLevel
	}
	b := &Box{
		Settings:         s,
		Incarnation:      newIncarnation(),
		Topology:         topology.New(s.Zones, s.ClientBlocks),
		Store:            config.NewStore(),
		Timers:           timer.New(),
		Metrics:          metrics.NewRegistry(),
		handler:          handler,
		logger:           logging.New(handler, level),
		started:          time.Now(),
		gates:            map[string]*admission.Gate{},
		migrators:        map[string]*shift.Migrator{},
		planSeen:         map[string]seenPlan{},
		pools:            map[string]*exchange.Pool{},
		peers:            map[string]*exchange.Pool{},
		background:       conc.NewWaitGroup(),
		rebuildRequested: make(chan struct{}, 1),
	}
	b.context, b.stop = context.WithCancel(context.Background())
	b.log = logging.For(b.logger, "box")
	b.Table = membership.NewTable(s.Box, time.Now)
	b.dialer = &net.Dialer{Timeout: time.Second, LocalAddr: localAddress(s.Listen.Peers)}
	b.Platform = platform.NewHTTP(s.Platform.Address, s.Platform.Timeout, b.dial, b.countPlatformCall)
	b.Writer = &config.Writer{Platform: b.Platform, Store: b.Store, Timeout: 2 * s.Platform.Timeout}
	b.Exchanger = peer.NewExchanger(s.Box, s.Zone, s.Seeds, b.Table, b.Store, logging.For(b.logger, "peer"))
	b.Exchanger.Call = b.newPeerCaller()
	b.Table.SameRegion = func(zone string) bool { return b.Topology.RegionOf(zone) == b.region }
	b.Exchanger.OnMerge = b.applyNewViews
	b.Exchanger.SameRegion = func(zone string) bool { return b.Topology.RegionOf(zone) == b.region }
	b.NewPool = func(address string, maxIdle int) *exchange.Pool { return exchange.NewPool(address, maxIdle, b.dial) }
	b.NewGate = func() *admission.Gate { return admission.NewGate(time.Now, s.Limits.QueueWait) }
	b.region = b.Topology.RegionOf(s.Zone)
	b.UsableSlots = slots.Usable
	b.ShiftCap = func(s *model.Service) float64 { return s.ShiftCap }
	b.LeaveSteps = b.leaveSteps()
	b.Idempotency = idempotency.NewTable(s.Limits.OnceRecords, s.Limits.OnceAge, b.age)
	b.Entry = b.newEntry()
	b.operators = b.newOperators()
	b.confirmed.Store(true)
	b.refreshSelf()
	b.rebuild()
	return b
}

func (b *Box) newEntry() *entry.Handler {
	s := b.Settings
	return &entry.Handler{
		Self: s.Box, Zone: s.Zone, Incarnation: b.Incarnation,
		LookupTTL:       s.LookupTTL,
		BufferedBody:    s.Limits.BufferedBodyBytes,
		Log:             logging.For(b.logger, "route"),
		Budget:          entry.NewBudget(),
		Now:             time.Now,
		Age:             b.age,
		Ready:           b.Ready,
		Closed:          b.closed.Load,
		Snapshot:        b.snapshot.Load,
		Gate:            b.gate,
		ServerPool:      b.serverPool,
		PeerPool:        b.peerPool,
		Member:          b.Table.Get,
		Begin:           b.Idempotency.Begin,
		MaySend:         b.maySend,
		Claim:           b.claim,
		OnServerLeaving: b.onServerLeaving,
		Classify:        entry.Classify,
		CountBucket:     b.countBucket,
		CountOutcome:    func(result string) { metrics.GetOrRegisterCounter("requests."+result, b.Metrics).Inc(1) },
		ObserveDuration: b.observe(),
	}
}

func (b *Box) observe() func(time.Duration) {
	t := metrics.GetOrRegisterTimer("requests.time", b.Metrics)
	return func(d time.Duration) { t.Update(d) }
}

// Ready reports whether the box may serve requests: it has a complete configuration
// and has asked other boxes for a newer one.
func (b *Box) Ready() bool { return b.Store.Synced() && b.seedsAsked.Load() }

// age returns the time since this incarnation of the box started, suspensions
// included.
func (b *Box) age() time.Duration { return time.Since(b.started) }

func newIncarnation() string {
	var id [6]byte
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

// localAddress returns the box's own IP address as the source of its connections, or
// nil if the box listens on no specific one.
func localAddress(listen string) net.Addr {
	host, _, err := net.SplitHostPort(listen)
	ip := net.ParseIP(host)
	if err != nil || ip == nil || ip.IsUnspecified() {
		return nil
	}
	return &net.TCPAddr{IP: ip}
}

func (b *Box) dial(ctx context.Context, address string) (net.Conn, error) {
	return b.dialer.DialContext(ctx, "tcp", address)
}
