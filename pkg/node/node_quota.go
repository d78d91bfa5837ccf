package node

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/stoneworks/stoneworks/pkg/customer"
	"github.com/stoneworks/stoneworks/pkg/customerstats"
	"github.com/stoneworks/stoneworks/pkg/gossip"
	"github.com/stoneworks/stoneworks/pkg/quota"
)

// ================================================================
// Rate limits of customers, enforced over all boxes together.
// ================================================================

const (
	// customerLimitWait bounds how long a request waits for the decision whether its customer's
	// limit has capacity left: two round trips between regions.
	customerLimitWait = 150 * time.Millisecond
	// startupLimitWait is the same for a box that has just started and has not been granted any
	// tokens yet: it covers the time until the box and its zone know each other.
	startupLimitWait = 350 * time.Millisecond
	// allocatorCandidates is how many of each zone's first boxes may become its allocators.
	// Those that do not answer are skipped.
	allocatorCandidates = 4
	// zoneSettleTime is how long a box that has become ready waits, so that its zone learns of
	// it, before it holds a share of limits. aloneSettleTime is the same for a box that has not
	// heard of any other box in its zone.
	zoneSettleTime  = 60 * time.Millisecond
	aloneSettleTime = 2 * time.Second
)

func (n *Node) newQuota() {
	s := n.Settings
	var zones []string
	for _, z := range s.Zones {
		zones = append(zones, z.Zone)
	}
	n.Quota = &quota.Limiter{
		Tolerance:       quota.Tolerance{Window: s.Bounds.QuotaWindow, Overage: s.Bounds.QuotaOverage, Slack: s.Bounds.QuotaSlack},
		ServerTolerance: quota.Tolerance{Window: s.Bounds.ServerLimitWindow, Overage: s.Bounds.ServerLimitOverage, Slack: s.Bounds.ServerLimitSlack},
		Zone:            s.Zone, Zones: zones, Incarnation: n.started.UnixNano(),
		Self: quota.Box{Key: quota.KeyOf(s.Box), Address: s.Advertise.Peers},
		Now:  n.Clock.Now, Random: rand.Float64,
	}
	n.Quota.Start()
	worst := metrics.NewFunctionalGaugeFloat64(func() float64 {
		share, _ := n.Ledger.WorstTenth()
		return share
	})
	if err := n.Metrics.Register("customer.worst_tenth", worst); err != nil {
		n.log.Warn("metric could not be registered", map[string]any{"metric": "customer.worst_tenth", "error": err.Error()})
	}
}

// tickQuota does the periodic work of limits.
func (n *Node) tickQuota() {
	if !n.Quota.HasLimits() {
		return
	}
	n.Quota.Tick(n.quotaView())
	n.sendQuota()
}

// quotaViewCache caches what this box knows of others for limits. Without the cache, computing
// it at each tick cost 74 boxes a fifth more processor time while there was no trouble.
type quotaViewCache struct {
	mu       sync.Mutex
	at       time.Time
	position gossip.Position
	first    []quota.Box
	zones    map[string][]quota.Box
}

// quotaCacheTime is how long the cache is valid, unless a box has appeared, gone or changed, or
// this box has just started.
const quotaCacheTime = gossip.Interval

// quotaView returns what this box knows of others for limits.
func (n *Node) quotaView() quota.View {
	h := &n.quotaCache
	h.mu.Lock()
	defer h.mu.Unlock()
	if n.membersChanged.Swap(false) || n.Clock.Since(h.at) >= quotaCacheTime || n.uptime() < 2*discoverTime {
		h.at = n.Clock.Now()
		h.position = n.Members.Position(allocatorCandidates, quota.AllocatorsPerZone)
		h.zones = map[string][]quota.Box{}
		for zone, list := range h.position.First {
			if zone == n.Settings.Zone {
				h.first = quotaBoxes(list)
				continue
			}
			h.zones[zone] = quotaBoxes(list[:min(len(list), quota.AllocatorsPerZone)])
		}
	}
	return quota.View{Weight: n.quotaWeight(&h.position), First: h.first, Zones: h.zones}
}

// quotaWeight returns this box's share of its zone's share of limits: 0 until the box knows its
// zone. A box that has started while it is cut off knows no other box and holds nothing; a box
// that is the only one of its zone holds the zone's whole share.
func (n *Node) quotaWeight(s *gossip.Position) float64 {
	settled := n.uptime() - time.Duration(n.readySince.Load())
	switch {
	case !n.ready.Load() || settled < zoneSettleTime:
		return 0
	case s.Neighbours > 0:
		return s.CapacityShare
	case settled < aloneSettleTime || s.Others == 0 && n.hasOtherSeeds():
		return 0
	}
	return s.CapacityShare
}

// hasOtherSeeds reports whether the settings name other boxes as seeds.
func (n *Node) hasOtherSeeds() bool {
	return slices.ContainsFunc(*n.seeds.Load(), func(seed string) bool { return seed != n.Settings.Advertise.Peers })
}

func quotaBoxes(list []gossip.Record) []quota.Box {
	boxes := make([]quota.Box, 0, len(list))
	for i := range list {
		boxes = append(boxes, quota.Box{Key: quota.KeyOf(list[i].Box), Address: list[i].Peers})
	}
	return boxes
}

// sendQuota sends the limiter's pending messages.
func (n *Node) sendQuota() {
	for _, e := range n.Quota.TakeMessages() {
		datagram, err := quota.Encode(&e.Message)
		if err != nil {
			n.log.Warn("message about limits could not be encoded", map[string]any{"to": e.To.Address, "error": err.Error()})
			continue
		}
		n.sendEach([]string{e.To.Address}, datagram)
		metrics.GetOrRegisterCounter("quota.sent", n.Metrics).Inc(1)
	}
}

// receiveQuota processes another box's message about limits.
func (n *Node) receiveQuota(datagram []byte, from *net.UDPAddr) {
	m, err := quota.Decode(datagram)
	if err != nil {
		n.noteUnreadDatagram(from, err)
		return
	}
	n.Quota.Receive(m, from.String())
	n.sendQuota()
}

// admit decides whether a customer's request is within its limit. It waits for the zone's
// allocator if this box holds no token.
func (n *Node) admit(ctx context.Context, c *customer.Customer) (admitted bool, retryAfter time.Duration) {
	id := quota.IDOf(c.Name)
	d := n.Quota.Arrive(id)
	if d.Verdict == quota.Waiting {
		n.sendQuota()
		wait := customerLimitWait
		if !n.Quota.Granted() {
			wait = startupLimitWait
		}
		d = n.awaitDecision(ctx, id, d, wait)
	}
	if d.Verdict != quota.Admitted {
		n.countRefused(c.Name)
	}
	return d.Verdict == quota.Admitted, d.RetryAfter
}

// awaitDecision waits until a request under a limit is decided, no longer than the given time.
func (n *Node) awaitDecision(ctx context.Context, id quota.ID, d quota.Decision, wait time.Duration) quota.Decision {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for d.Verdict == quota.Waiting {
		select {
		case <-d.Answered:
			d = n.Quota.Recheck(id, false)
		case <-timeout.C:
			d = n.Quota.Recheck(id, true)
		case <-ctx.Done():
			d = n.Quota.Recheck(id, true)
		}
	}
	n.sendQuota()
	return d
}

// countRefused counts a refusal by customer.
func (n *Node) countRefused(customer string) {
	metrics.GetOrRegisterCounter(n.refused.of("customer.refused.", customer), n.Metrics).Inc(1)
}

// serveCustomers returns to operators the limits of customers and the counts of their requests at
// this box.
func (n *Node) serveCustomers(w http.ResponseWriter, _ *http.Request) {
	t := n.table.Load()
	if t == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	b := customerstats.Box{Box: n.Settings.Box, Zone: n.Settings.Zone, Region: n.Topology.RegionOf(n.Settings.Zone), Version: t.Configuration.Version}
	for i := range t.Configuration.Customers {
		c := &t.Configuration.Customers[i]
		s := n.Quota.Stats(quota.IDOf(c.Name))
		settled, inTime := n.Ledger.Counts(c.Name)
		var keys []string
		for _, k := range c.Keys {
			keys = append(keys, k.String())
		}
		b.Customers = append(b.Customers, customerstats.Customer{
			Name: c.Name, Keys: keys, Priority: c.Priority, Rate: c.Rate, Burst: c.Burst, AllowedRegions: c.AllowedRegions,
			Arrived: s.Arrived, Admitted: s.Admitted, Refused: s.Refused, PerSecond: s.PerSecond, Held: s.Held,
			Completed: settled, InTime: inTime,
		})
	}
	w.Header().Set("Content-Type", "application/json")
	n.logUnsent("customers", json.NewEncoder(w).Encode(b))
}
