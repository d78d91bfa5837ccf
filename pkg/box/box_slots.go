package box

import (
	"context"
	"encoding/json"
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

// ownView is the list of boxes that this box splits slots with: those of its
// zone that the platform's list names or that were heard of lately, and not
// those that said goodbye.
func (b *Box) ownView() slots.View {
	names := []string{}
	if !b.gone.Load() {
		names = append(names, b.Settings.Box)
	}
	for _, m := range b.Table.Members() {
		if m.Zone != b.Settings.Zone || m.Box == b.Settings.Box || m.Gone {
			continue
		}
		if m.InList || m.State != membership.Dead {
			names = append(names, m.Box)
		}
	}
	return slots.NewView(names...)
}

// otherViews returns the views that the other boxes of the zone compute with.
// A box that was heard of but gave none has not begun; one that is dead and
// off the list has given up its part.
func (b *Box) otherViews(own slots.View) []slots.View {
	var views []slots.View
	for _, m := range b.Table.Members() {
		if m.Zone != b.Settings.Zone || m.Box == b.Settings.Box || m.Gone || m.State == membership.Listed {
			continue
		}
		if m.State == membership.Dead && !own.Has(m.Box) {
			continue
		}
		if len(m.Homes) > 0 {
			views = append(views, m.Homes)
		}
	}
	return views
}

// updateGates gives every service's gate this box's part of the slots.
func (b *Box) updateGates(services []decide.ServiceInput) {
	own := b.ownView()
	others := b.otherViews(own)
	seen := map[string]bool{}
	for _, s := range services {
		seen[s.Spec.Name] = true
		b.gateOf(s.Spec.Name).Update(b.serverConfigs(s.Spec, own, others))
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, g := range b.gates {
		if !seen[name] {
			g.Update(nil)
			delete(b.gates, name)
		}
	}
}

func (b *Box) serverConfigs(s *model.Service, own slots.View, others []slots.View) []admission.ServerConfig {
	var configs []admission.ServerConfig
	for _, server := range s.BackendServers {
		if server.Zone != b.Settings.Zone || !s.RegionAllowed(b.Topology.RegionOf(server.Zone)) {
			continue
		}
		part := slots.Usable(b.Settings.Box, s.Name+"/"+server.Name, server.Slots, own, others)
		configs = append(configs, admission.ServerConfig{
			Name: server.Name, Address: server.Address, Share: part, Leaving: server.Leaving,
		})
	}
	return configs
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

// load tells the other boxes how much of this box's part is in use.
func (b *Box) load() []membership.ServiceLoad {
	b.mu.Lock()
	gates := make(map[string]*admission.Gate, len(b.gates))
	for name, g := range b.gates {
		gates[name] = g
	}
	b.mu.Unlock()
	var loads []membership.ServiceLoad
	for name, g := range gates {
		l := membership.ServiceLoad{Service: name}
		for _, s := range g.Status() {
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
	return loads
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
		if o.Deleted {
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
