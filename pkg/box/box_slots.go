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

// updateGates gives every service's gate this box's part of the slots. What
// lets another box take more, a change of the views that count or the end of
// an excess, is told at once and does not wait for heartbeats.
func (b *Box) updateGates(services []decide.ServiceInput) {
	members := b.Table.Members()
	views := b.views(members)
	speakers := b.speakers(members, views)
	own := b.countingViews(views, speakers)
	seen := map[string]bool{}
	for _, s := range services {
		seen[s.Spec.Name] = true
		b.gateOf(s.Spec.Name).Update(b.serverConfigs(s.Spec, own, speakers))
	}
	b.dropGates(seen)
	if b.noteViews(own, speakers) || b.excessEnded() {
		b.refreshSelf()
		b.background.Go(func() {
			b.Exchanger.CallAll(b.context)
			b.wakeRebuild()
		})
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

// excessEnded reports whether this box was above its part of some server at
// the last look and is no more.
func (b *Box) excessEnded() bool {
	_, excess := b.load()
	had := b.hadExcess.Swap(len(excess) > 0)
	return had && len(excess) == 0
}

// countingViews returns this box's views that still count, with the present
// ones as the last.
func (b *Box) countingViews(views map[string]slots.View, speakers []membership.Member) []membership.SlotViews {
	zones := map[string][]string{}
	for zone, v := range views {
		zones[zone] = v
	}
	b.mu.Lock()
	own := append([]membership.SlotViews(nil), b.ownViews...)
	b.mu.Unlock()
	version := uint64(time.Now().UnixMilli())
	if n := len(own); n > 0 {
		version = max(version, own[n-1].Version+1)
	}
	if n := len(own); n == 0 || !reflect.DeepEqual(own[n-1].Zones, zones) {
		own = append(own, membership.SlotViews{Version: version, Zones: zones})
	}
	var seen []uint64
	for _, m := range speakers {
		if !m.Gone {
			seen = append(seen, m.Seen[b.Settings.Box])
		}
	}
	return slots.Counting(own, func(v membership.SlotViews) uint64 { return v.Version }, seen)
}

// noteViews remembers for heartbeats what the gates now keep to, and reports
// whether this box's views that count have changed.
func (b *Box) noteViews(own []membership.SlotViews, speakers []membership.Member) (changed bool) {
	seen := map[string]uint64{}
	heard := map[string]viewsHeard{}
	for _, m := range speakers {
		heard[m.Box] = viewsHeard{version: m.ViewsVersion(), counting: len(m.Views), excess: len(m.Excess)}
		if v := m.ViewsVersion(); v > 0 {
			seen[m.Box] = v
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	changed = !sameVersions(b.ownViews, own)
	b.ownViews, b.seenViews, b.heardOf = own, seen, heard
	return changed
}

// viewsHeard is what the gates keep to of another box.
type viewsHeard struct {
	version  uint64
	counting int
	excess   int
}

func sameVersions(a, b []membership.SlotViews) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].Version != b[i].Version {
			return false
		}
	}
	return true
}

// heardViews is called when another box has told something. If its views are
// new, this box keeps to them before it answers that it has seen them.
func (b *Box) heardViews() {
	b.mu.Lock()
	known := b.heardOf
	b.mu.Unlock()
	for _, m := range b.Table.Members() {
		if m.Box == b.Settings.Box || m.State == membership.Dead || b.Topology.RegionOf(m.Zone) != b.region {
			continue
		}
		if known[m.Box] != (viewsHeard{version: m.ViewsVersion(), counting: len(m.Views), excess: len(m.Excess)}) {
			b.rebuild()
			return
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
