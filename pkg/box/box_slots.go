package box

import (
	"context"
	"encoding/json"
	"reflect"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/stoneworks/stoneworks/pkg/admission"
	"github.com/stoneworks/stoneworks/pkg/decide"
	"github.com/stoneworks/stoneworks/pkg/exchange"
	"github.com/stoneworks/stoneworks/pkg/membership"
	"github.com/stoneworks/stoneworks/pkg/model"
	"github.com/stoneworks/stoneworks/pkg/slots"
)

// HealthPath is where a backend server tells how it is.
const HealthPath = "/stoneworks/health"

// probeTimeout bounds one probe.
const probeTimeout = 500 * time.Millisecond

// Health is a backend server's answer to a probe.
type Health struct {
	// Leaving is set when it wants no new work.
	Leaving bool `json:"leaving"`
}

// takesPart reports whether a box shares the slots of its zone, as far as this
// box knows: it is listed or was heard of lately, and has not given them up.
func takesPart(m membership.Member) bool {
	return !m.Gone && (m.InList || m.State != membership.Dead)
}

// views returns the views that this box computes with: of every zone of its
// region, by zone. A zone without boxes is adopted by the rest of the region.
func (b *Box) views(members []membership.Member) map[string]slots.View {
	natives := map[string][]string{}
	var region []string
	for _, m := range members {
		if b.Topology.RegionOf(m.Zone) != b.region || !takesPart(m) {
			continue
		}
		natives[m.Zone] = append(natives[m.Zone], m.Box)
		region = append(region, m.Box)
	}
	views := map[string]slots.View{}
	for _, z := range b.Topology.Zones() {
		if z.Region != b.region {
			continue
		}
		views[z.Zone] = slots.NewView(natives[z.Zone]...)
		if len(natives[z.Zone]) == 0 {
			views[z.Zone] = slots.NewView(region...)
		}
	}
	return views
}

// speakers returns the other boxes of the region whose word on slots counts.
// The word of a box that is dead, and off the views, has lapsed.
func (b *Box) speakers(members []membership.Member, views map[string]slots.View) []membership.Member {
	var list []membership.Member
	for _, m := range members {
		if m.Box == b.Settings.Box || m.State == membership.Listed || b.Topology.RegionOf(m.Zone) != b.region {
			continue
		}
		if m.Silent > membership.DeadAfter && !views[m.Zone].Has(m.Box) {
			continue
		}
		list = append(list, m)
	}
	return list
}

// told returns what the speakers said of one server. A box that is gone has
// told its excess only.
func told(speakers []membership.Member, self, zone, server string) []slots.Told {
	all := make([]slots.Told, 0, len(speakers))
	for _, m := range speakers {
		t := slots.Told{Excess: m.Excess[server], Seen: m.Seen[self]}
		if !m.Gone {
			t.Views = viewsOf(m.Views, zone)
		}
		all = append(all, t)
	}
	return all
}

func viewsOf(views []membership.SlotViews, zone string) []slots.Versioned {
	list := make([]slots.Versioned, 0, len(views))
	for _, v := range views {
		list = append(list, slots.Versioned{Version: v.Version, View: v.Zones[zone]})
	}
	return list
}

// updateGates gives every service's gate this box's part of the slots. A
// change of the box's views is told at once, and so is that it has seen a
// change of another's; the part that others gave up is then taken.
func (b *Box) updateGates(services []decide.ServiceInput) {
	members := b.Table.Members()
	views := b.views(members)
	speakers := b.speakers(members, views)
	own, changed := b.countingViews(views, speakers)
	seen := map[string]bool{}
	for _, s := range services {
		seen[s.Spec.Name] = true
		b.gateOf(s.Spec.Name).Update(b.serverConfigs(s.Spec, own, speakers))
	}
	b.dropGates(seen)
	b.noteViews(own, speakers)
	if changed {
		b.refreshSelf()
		b.background.Go(func() {
			b.Exchanger.CallAll(b.context)
			b.wakeRebuild()
		})
	}
}

// countingViews returns this box's views that still count, with the present
// ones as the last, and whether these are new.
func (b *Box) countingViews(views map[string]slots.View, speakers []membership.Member) (own []membership.SlotViews, changed bool) {
	zones := map[string][]string{}
	for zone, v := range views {
		zones[zone] = v
	}
	b.mu.Lock()
	own = append(own, b.ownViews...)
	b.mu.Unlock()
	version := uint64(time.Now().UnixMilli())
	if n := len(own); n > 0 {
		version = max(version, own[n-1].Version+1)
	}
	if n := len(own); n == 0 || !reflect.DeepEqual(own[n-1].Zones, zones) {
		own = append(own, membership.SlotViews{Version: version, Zones: zones})
		changed = true
	}
	var seen []uint64
	for _, m := range speakers {
		if !m.Gone {
			seen = append(seen, m.Seen[b.Settings.Box])
		}
	}
	return slots.Counting(own, func(v membership.SlotViews) uint64 { return v.Version }, seen), changed
}

// noteViews remembers for heartbeats what the gates now keep to.
func (b *Box) noteViews(own []membership.SlotViews, speakers []membership.Member) {
	seen := map[string]uint64{}
	for _, m := range speakers {
		if v := m.ViewsVersion(); v > 0 {
			seen[m.Box] = v
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ownViews, b.seenViews = own, seen
}

// heardViews is called when another box has told something. If its views are
// new, this box keeps to them before it answers that it has seen them.
func (b *Box) heardViews() {
	b.mu.Lock()
	known := b.seenViews
	b.mu.Unlock()
	for _, m := range b.Table.Members() {
		if m.Box != b.Settings.Box && b.Topology.RegionOf(m.Zone) == b.region && m.ViewsVersion() > known[m.Box] && m.State != membership.Dead {
			b.rebuild()
			return
		}
	}
}

func (b *Box) dropGates(keep map[string]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, g := range b.gates {
		if !keep[name] {
			g.Update(nil)
			delete(b.gates, name)
		}
	}
}

func (b *Box) serverConfigs(s *model.Service, own []membership.SlotViews, speakers []membership.Member) []admission.ServerConfig {
	var configs []admission.ServerConfig
	latest := own[len(own)-1].Zones
	for _, server := range s.BackendServers {
		view := slots.View(latest[server.Zone])
		if len(view) == 0 || !s.RegionAllowed(b.region) {
			continue
		}
		key := serverKey(s.Name, server.Name)
		if server.Zone != b.Settings.Zone && view.Part(b.Settings.Box, key, server.Slots) == 0 && !b.holdsSlotOf(s.Name, server.Name) {
			continue
		}
		others := told(speakers, b.Settings.Box, server.Zone, key)
		part := b.Usable(b.Settings.Box, key, server.Slots, viewsOf(own, server.Zone), others)
		configs = append(configs, admission.ServerConfig{
			Name: server.Name, Address: server.Address, Share: part, Leaving: server.Leaving,
		})
	}
	return configs
}

func serverKey(service, server string) string { return service + "/" + server }

// holdsSlotOf reports whether requests of this box are in flight at a server.
func (b *Box) holdsSlotOf(service, server string) bool {
	gate := b.gate(service)
	if gate == nil {
		return false
	}
	for _, s := range gate.Status() {
		if s.Name == server {
			return s.InUse > 0
		}
	}
	return false
}

func (b *Box) gate(service string) *admission.Gate {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.gates[service]
}

func (b *Box) gateOf(service string) *admission.Gate {
	b.mu.Lock()
	defer b.mu.Unlock()
	g := b.gates[service]
	if g == nil {
		g = b.NewGate()
		b.gates[service] = g
	}
	return g
}

// load tells the other boxes how much of this box's part is in use, and where
// it is above its part.
func (b *Box) load() (loads []membership.ServiceLoad, excess map[string]int) {
	b.mu.Lock()
	gates := make(map[string]*admission.Gate, len(b.gates))
	for name, g := range b.gates {
		gates[name] = g
	}
	b.mu.Unlock()
	excess = map[string]int{}
	for name, g := range gates {
		l := membership.ServiceLoad{Service: name}
		for _, s := range g.Status() {
			if s.InUse > s.Share {
				excess[serverKey(name, s.Name)] = s.InUse - s.Share
			}
			if s.Leaving || s.SelfLeaving || s.Ejected {
				continue
			}
			l.Share += s.Share
			l.InUse += s.InUse
		}
		if l.Share > 0 {
			loads = append(loads, l)
		}
	}
	return loads, excess
}

// ----------------------------------------------------------------
// Connections
// ----------------------------------------------------------------

func (b *Box) serverPool(address string, share int) *exchange.Pool {
	return b.pool(b.pools, address, max(share, 1))
}

func (b *Box) peerPool(address string) *exchange.Pool {
	return b.pool(b.peers, address, maxIdlePeer)
}

// maxIdlePeer bounds the idle connections kept to another box.
const maxIdlePeer = 64

func (b *Box) pool(pools map[string]*exchange.Pool, address string, maxIdle int) *exchange.Pool {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := pools[address]
	if p == nil {
		p = b.NewPool(address, maxIdle)
		pools[address] = p
	}
	return p
}

// ----------------------------------------------------------------
// Probes
// ----------------------------------------------------------------

// probeServers asks each backend server that this box has a part of whether
// it leaves. No answer is no news: health endpoints lag, and the exchanges
// themselves show whether a server works.
func (b *Box) probeServers() {
	ctx, cancel := context.WithTimeout(b.context, probeTimeout)
	defer cancel()
	wg := newLimitedGroup()
	for _, o := range b.Store.All() {
		if !o.IsService() {
			continue
		}
		gate := b.gate(o.Name)
		if gate == nil {
			continue
		}
		for _, s := range gate.Status() {
			if s.Share > 0 {
				wg.Go(func() { b.probe(ctx, o.Name, gate, s) })
			}
		}
	}
	wg.Wait()
}

func (b *Box) probe(ctx context.Context, service string, gate *admission.Gate, s admission.ServerStatus) {
	h := &fasthttp.RequestHeader{}
	h.SetRequestURI(HealthPath)
	h.SetHost(s.Address)
	got, err := b.serverPool(s.Address, s.Share).Do(ctx, &exchange.Request{Header: h, MaxIdle: time.Minute})
	if err != nil {
		return
	}
	defer func() { _ = got.Body.Close() }()
	var health Health
	if got.Header.StatusCode() != fasthttp.StatusOK || json.NewDecoder(got.Body).Decode(&health) != nil {
		return
	}
	if gate.SetSelfLeaving(s.Name, health.Leaving) {
		b.log.Info("backend server changed its mind", map[string]any{"service": service, "server": s.Name, "leaving": health.Leaving})
	}
}

// serverSaysLeaving is called when an answer carries the leaving signal.
func (b *Box) serverSaysLeaving(service, server string) {
	if gate := b.gate(service); gate != nil && gate.SetSelfLeaving(server, true) {
		b.log.Info("backend server leaves", map[string]any{"service": service, "server": server})
	}
}
