package admission

import "time"

// tryAcquire acquires a slot of a backend server without waiting, or returns nil. It uses
// the server to avoid only if no other has a free slot.
func (g *Gate) tryAcquire(r Request) *Permit {
	best := g.pick(r, r.Avoid)
	if best == nil && r.Avoid != "" {
		best = g.pick(r, "")
	}
	if best == nil {
		return nil
	}
	best.InUse++
	return &Permit{gate: g, server: best, Server: best.ServerConfig, started: g.Now()}
}

// pick returns the best usable server: by rendezvous hashing of the cache key if the
// request has one, else the server with the largest free share of its slots.
func (g *Gate) pick(r Request, avoid string) *server {
	now := g.Now()
	var best *server
	var bestScore float64
	for _, s := range g.servers {
		status := s.status(now)
		if s.Name == avoid || !g.MayAdmit(&status) {
			continue
		}
		score := float64(s.Share-s.InUse) / float64(s.Share)
		if r.CacheKey != 0 {
			score = rendezvous(r.CacheKey, s.Name)
		}
		if best == nil || score > bestScore {
			best, bestScore = s, score
		}
	}
	return best
}

// rendezvous returns a fixed pseudo-random score for a pair of key and server, so that
// when one of N servers is added or removed, only about 1/N of the keys move.
func rendezvous(key uint64, name string) float64 {
	h := key
	for i := range len(name) {
		h = (h ^ uint64(name[i])) * 1099511628211
	}
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	return float64(h>>11) / (1 << 53)
}

// ================================================================
// Permits
// ================================================================

// Result is the result of the exchange that held a slot.
type Result int

// The results.
const (
	// Unused means that nothing was sent.
	Unused Result = iota
	// Succeeded means that the backend server answered.
	Succeeded
	// Broken means that the server could not be reached or its connection failed.
	Broken
	// TimedOut means that the caller's deadline passed first. It counts as a failure of
	// the server only if the server had far more time than it usually needs.
	TimedOut
)

// A timeout counts as a failure of the server if the slot was held for at least
// timeoutFactor times the mean service time and at least timeoutFloor.
const (
	timeoutFactor = 10
	timeoutFloor  = 100 * time.Millisecond
)

// Permit is one slot in use.
type Permit struct {
	Server  ServerConfig
	gate    *Gate
	server  *server
	started time.Time
	done    bool
}

// AbandonDelay is the time for which a server may continue to process a request after
// its connection was closed: the close has to arrive, and the server has to detect it.
const AbandonDelay = 100 * time.Millisecond

// Release releases the slot. Only the first call of Release or Abandon has an effect.
func (p *Permit) Release(result Result) {
	if p.recordResult(result) {
		p.releaseSlot()
	}
}

// Abandon ends an exchange whose request was sent and not completely answered. The slot
// is released after AbandonDelay, when the server must have detected it. Only the first
// call of Release or Abandon has an effect.
func (p *Permit) Abandon(result Result) {
	if p.recordResult(result) {
		p.gate.After(AbandonDelay, p.releaseSlot)
	}
}

// releaseSlot frees the slot for the request that has waited longest.
func (p *Permit) releaseSlot() {
	p.gate.mu.Lock()
	defer p.gate.mu.Unlock()
	p.server.InUse--
	p.gate.serveQueue()
}

// recordResult records the result, and reports whether it is the first one.
func (p *Permit) recordResult(result Result) (first bool) {
	g := p.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if p.done {
		return false
	}
	p.done = true
	switch result {
	case Succeeded:
		p.server.failures, p.server.ejections = 0, 0
		g.serviceTime += (g.Now().Sub(p.started) - g.serviceTime) / 16
	case Broken:
		g.countFailure(p.server)
	case TimedOut:
		if g.Now().Sub(p.started) >= max(timeoutFactor*g.serviceTime, timeoutFloor) {
			g.countFailure(p.server)
		}
	}
	return true
}

func (g *Gate) countFailure(s *server) {
	s.failures++
	if s.failures < EjectAfter || !g.mayEject(g.Now()) {
		return
	}
	duration := min(FirstEjection<<min(s.ejections, 10), LongestEjection)
	s.ejections++
	// One more failure after this ejection is enough for the next one.
	s.failures = EjectAfter - 1
	s.ejectedUntil = g.Now().Add(duration)
}
