package admission

import "time"

// tryAcquire picks a backend server with a free slot, or nil.
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

// pick returns the usable server that suits the request best: the first in
// the order of its cache key, or the one with the largest free part.
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

// rendezvous gives every pair of key and server a fixed random score, so that
// when one of N servers comes or goes only about 1/N of the keys move.
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

// Result is how the exchange that held a slot ended.
type Result int

// The results.
const (
	// Unused: nothing was sent.
	Unused Result = iota
	// Succeeded: the backend server answered.
	Succeeded
	// Broken: it could not be reached, or its connection failed.
	Broken
	// TimedOut: the caller's deadline came first. That speaks against the
	// backend server only if it had far more time than it usually needs.
	TimedOut
)

// A server that had timeoutFactor times the usual time, and at least
// timeoutFloor, and did not answer, counts as broken.
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

// AbandonDelay is for how long a server may go on working on a request whose
// connection was closed: the close has to reach it, and it has to look.
const AbandonDelay = 100 * time.Millisecond

// Release gives the slot back; only the first call counts.
func (p *Permit) Release(result Result) {
	if p.recordResult(result) {
		p.releaseSlot()
	}
}

// Abandon ends an exchange whose request was sent and not answered to its end.
// The slot is given back when the server must have noticed. Of this and
// Release only the first call counts.
func (p *Permit) Abandon(result Result) {
	if p.recordResult(result) {
		p.gate.After(AbandonDelay, p.releaseSlot)
	}
}

// releaseSlot gives the slot to the request that has waited longest.
func (p *Permit) releaseSlot() {
	p.gate.mu.Lock()
	defer p.gate.mu.Unlock()
	p.server.InUse--
	p.gate.serveQueue()
}

// recordResult notes the result, and reports whether it is the first one.
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
	rest := min(FirstEjection<<min(s.ejections, 10), LongestEjection)
	s.ejections++
	// One more failure after the rest is enough for the next one.
	s.failures = EjectAfter - 1
	s.ejectedUntil = g.Now().Add(rest)
}
