package box

import (
	"context"
	"encoding/json"
	"time"

	"github.com/sourcegraph/conc/pool"
	"github.com/valyala/fasthttp"

	"github.com/stoneworks/stoneworks/pkg/admission"
	"github.com/stoneworks/stoneworks/pkg/exchange"
)

// HealthPath is the path of a backend server's health endpoint.
const HealthPath = "/stoneworks/health"

// maxHealth is the longest answer to a health check in bytes.
const maxHealth = 64 << 10

// maxConcurrentProbes is the highest number of probes that run at the same time.
const maxConcurrentProbes = 32

// probeTimeout limits one round of probes.
const probeTimeout = 500 * time.Millisecond

// Health is a backend server's answer to a probe.
type Health struct {
	// Leaving is set when the server wants no new requests.
	Leaving bool `json:"leaving"`
}

// probeServers asks each backend server that this box has a share of whether it is
// leaving. A probe without an answer is ignored: health endpoints lag, and the
// requests themselves show whether a server works.
func (b *Box) probeServers() {
	ctx, cancel := context.WithTimeout(b.context, probeTimeout)
	defer cancel()
	wg := pool.New().WithMaxGoroutines(maxConcurrentProbes)
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
	text, err := got.ReadAll(maxHealth)
	var health Health
	if err != nil || got.Header.StatusCode() != fasthttp.StatusOK || json.Unmarshal(text, &health) != nil {
		return
	}
	if gate.SetSelfLeaving(s.Name, health.Leaving) {
		b.log.Info("backend server changed its leaving state", map[string]any{"service": service, "server": s.Name, "leaving": health.Leaving})
	}
}

// onServerLeaving is called when an answer carries the leaving signal.
func (b *Box) onServerLeaving(service, server string) {
	if gate := b.gate(service); gate != nil && gate.SetSelfLeaving(server, true) {
		b.log.Info("backend server leaves", map[string]any{"service": service, "server": server})
	}
}
