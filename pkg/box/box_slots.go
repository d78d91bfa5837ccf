package box

import (
	"github.com/stoneworks/stoneworks/pkg/admission"
	"github.com/stoneworks/stoneworks/pkg/decide"
	"github.com/stoneworks/stoneworks/pkg/exchange"
	"github.com/stoneworks/stoneworks/pkg/membership"
	"github.com/stoneworks/stoneworks/pkg/model"
	"github.com/stoneworks/stoneworks/pkg/slots"
)

// updateGates gives the gate of every service this box's share of the slots. Changes
// that let another box use more, namely a change of the active views or the end of an
// excess, are sent at once and do not wait for heartbeats.
func (b *Box) updateGates(services []decide.ServiceInput) {
	members := b.Table.Members()
	views := b.views(members)
	peers := b.slotPeers(members, views)
	own := b.activeViews(views, peers)
	seen := map[string]bool{}
	for _, s := range services {
		seen[s.Spec.Name] = true
		b.ensureGate(s.Spec.Name).Update(b.serverConfigs(s.Spec, own, peers))
	}
	b.dropGates(seen)
	switch {
	case b.recordAppliedViews(own, peers) || b.excessEnded():
		b.refreshSelf()
		b.background.Go(func() {
			b.Exchanger.CallAll(b.context)
			b.requestRebuild()
		})
	case b.anyPartial(peers):
		b.background.Go(func() { b.Exchanger.CallAll(b.context) })
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

// excessEnded reports whether this box used more than its share of some server at the
// last call and no longer does.
func (b *Box) excessEnded() bool {
	_, excess := b.load()
	had := b.hadExcess.Swap(len(excess) > 0)
	return had && len(excess) == 0
}

func (b *Box) serverConfigs(s *model.Service, own []membership.SlotViews, peers []membership.Member) []admission.ServerConfig {
	var configs []admission.ServerConfig
	latest := own[len(own)-1].Zones
	for _, server := range s.BackendServers {
		view := slots.View(latest[server.Zone])
		if len(view) == 0 || !s.RegionAllowed(b.region) {
			continue
		}
		key := serverKey(s.Name, server.Name)
		if server.Zone != b.Settings.Zone && view.Share(b.Settings.Box, key, server.Slots) == 0 && !b.holdsSlotOf(s.Name, server.Name) {
			continue
		}
		others := reportsOf(peers, server.Zone, key)
		share := 0
		if !b.anyPartial(peers) {
			share = b.UsableSlots(b.Settings.Box, key, server.Slots, viewsOf(own, server.Zone), others)
		}
		configs = append(configs, admission.ServerConfig{
			Name: server.Name, Address: server.Address, Share: share, Leaving: server.Leaving,
		})
	}
	return configs
}

func serverKey(service, server string) string { return service + "/" + server }

// holdsSlotOf reports whether this box has requests in flight at a server.
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

func (b *Box) ensureGate(service string) *admission.Gate {
	b.mu.Lock()
	defer b.mu.Unlock()
	g := b.gates[service]
	if g == nil {
		g = b.NewGate()
		b.gates[service] = g
	}
	return g
}

// load returns how much of this box's share is in use, by service, and the servers of
// which it uses more than its share, with the excess. Heartbeats report both.
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

// maxIdlePeer is the highest number of idle connections kept to another box.
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
