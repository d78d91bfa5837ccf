// Package admission controls the slots of the backend servers for which this box is a
// home. A request that finds no free slot waits in a short queue or is rejected at once.
// A request that cannot meet its deadline is not queued.
package admission

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/stoneworks/stoneworks/pkg/outcome"
)

// Parameters of the gate.
const (
	// EjectAfter is the number of consecutive failed exchanges after which a backend
	// server is ejected.
	EjectAfter = 3
	// FirstEjection is the duration of the first ejection. It doubles with each further
	// one, up to LongestEjection.
	FirstEjection   = 500 * time.Millisecond
	LongestEjection = 10 * time.Second
	// QueuePerSlot is the maximum number of queued requests per slot.
	QueuePerSlot = 2
	// firstServiceTime is the service time assumed before the first measurement.
	firstServiceTime = 10 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the retry-after time of a rejection.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// ServerConfig is a backend server, and this box's share of its slots.
type ServerConfig struct {
	Name    string
	Address string
	// Share is the number of its slots that this box may use.
	Share   int
	Leaving bool
}

// ServerStatus is the state of a backend server at this box.
type ServerStatus struct {
	ServerConfig
	InUse   int
	Ejected bool
	// SelfLeaving is set if the backend server itself has signalled that it is leaving.
	SelfLeaving bool
}

// Gate admits the requests of one service.
type Gate struct {
	Now       func() time.Time
	QueueWait time.Duration
	// MayAdmit reports whether the server may get a new request. Tests may replace
	// it.
	MayAdmit func(s *ServerStatus) bool
	// After calls do after d. Tests may replace it.
	After func(d time.Duration, do func())

	mu      sync.Mutex
	servers []*server
	queue   []*waiter
	// serviceTime is the moving average of the time for which a slot is held.
	serviceTime time.Duration
}

type server struct {
	ServerStatus
	failures     int
	ejections    int
	ejectedUntil time.Time
}

type waiter struct {
	ready   chan *Permit
	request Request
}

// Request holds the properties of a request that admission depends on.
type Request struct {
	// CacheKey is the hash of the request's cache key, or 0 if it has none.
	CacheKey uint64
	// Avoid is the name of a backend server that has just refused this request.
	Avoid string
}

// NewGate makes a gate without servers.
func NewGate(now func() time.Time, queueWait time.Duration) *Gate {
	return &Gate{
		Now:         now,
		QueueWait:   queueWait,
		MayAdmit:    mayAdmit,
		After:       func(d time.Duration, do func()) { time.AfterFunc(d, do) },
		serviceTime: firstServiceTime,
	}
}

func mayAdmit(s *ServerStatus) bool {
	return !s.Leaving && !s.SelfLeaving && !s.Ejected && s.InUse < s.Share
}

// Update replaces the configuration. Servers with the same name and address keep their
// state, including the number of slots in use.
func (g *Gate) Update(configs []ServerConfig) {
	g.mu.Lock()
	defer g.mu.Unlock()
	old := map[string]*server{}
	for _, s := range g.servers {
		old[s.Name+"\x00"+s.Address] = s
	}
	g.servers = g.servers[:0:0]
	for _, c := range configs {
		s := old[c.Name+"\x00"+c.Address]
		if s == nil {
			s = &server{}
		}
		s.ServerConfig = c
		g.servers = append(g.servers, s)
	}
	g.serveQueue()
}

// SetSelfLeaving records whether a backend server has signalled that it is leaving, and
// reports whether that changed.
func (g *Gate) SetSelfLeaving(name string, leaving bool) (changed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.servers {
		if s.Name == name && s.SelfLeaving != leaving {
			s.SelfLeaving = leaving
			changed = true
		}
	}
	if changed {
		g.serveQueue()
	}
	return changed
}

// Status returns the status of the servers, sorted by name.
func (g *Gate) Status() []ServerStatus {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := make([]ServerStatus, 0, len(g.servers))
	for _, s := range g.servers {
		list = append(list, s.status(g.Now()))
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

func (s *server) status(now time.Time) ServerStatus {
	status := s.ServerStatus
	status.Ejected = now.Before(s.ejectedUntil)
	return status
}

// mayEject reports whether one more server may be ejected. At most half of the usable
// servers may be: if more fail, the fault is likelier in the network or in this box, and
// ejecting the rest would turn it into an outage.
func (g *Gate) mayEject(now time.Time) bool {
	ejected, usable := 0, 0
	for _, s := range g.servers {
		if s.Share == 0 || s.Leaving || s.SelfLeaving {
			continue
		}
		usable++
		if now.Before(s.ejectedUntil) {
			ejected++
		}
	}
	return 2*(ejected+1) <= usable
}

// HasFree reports whether a slot is free and no request is queued.
func (g *Gate) HasFree() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.queue) > 0 {
		return false
	}
	now := g.Now()
	for _, s := range g.servers {
		status := s.status(now)
		if g.MayAdmit(&status) {
			return true
		}
	}
	return false
}

// Acquire acquires a slot, and may wait for one. The outcome of a failure is always
// "not run".
func (g *Gate) Acquire(ctx context.Context, r Request) (*Permit, *outcome.Failure) {
	g.mu.Lock()
	if p := g.tryAcquire(r); p != nil {
		g.mu.Unlock()
		return p, nil
	}
	w, failure := g.enqueue(ctx, r)
	g.mu.Unlock()
	if failure != nil {
		return nil, failure
	}
	return g.wait(ctx, w)
}

func (g *Gate) enqueue(ctx context.Context, r Request) (*waiter, *outcome.Failure) {
	slots := g.usableSlots()
	if slots == 0 {
		return nil, outcome.NewNotRun(outcome.ReasonNoServer, "no backend server of this zone takes new work").WithRetryAfter(time.Second)
	}
	expected := g.serviceTime * time.Duration(len(g.queue)+1) / time.Duration(slots)
	if len(g.queue) >= slots*QueuePerSlot || expected > g.QueueWait {
		return nil, g.noCapacity(expected)
	}
	if deadline, ok := ctx.Deadline(); ok && g.Now().Add(expected+g.serviceTime).After(deadline) {
		return nil, outcome.NewNotRun(outcome.ReasonDeadline, "the wait for a slot would outlast it").WithRetryAfter(jitteredRetryAfter(expected, r))
	}
	w := &waiter{ready: make(chan *Permit, 1), request: r}
	g.queue = append(g.queue, w)
	return w, nil
}

func (g *Gate) noCapacity(expected time.Duration) *outcome.Failure {
	wait := min(max(expected, minRetryAfter), maxRetryAfter)
	return outcome.NewNotRun(outcome.ReasonNoCapacity, "").WithRetryAfter(wait)
}

func jitteredRetryAfter(d time.Duration, r Request) time.Duration {
	d = min(max(d, minRetryAfter), maxRetryAfter)
	return d + time.Duration(r.CacheKey%uint64(d))
}

func (g *Gate) wait(ctx context.Context, w *waiter) (*Permit, *outcome.Failure) {
	timer := time.NewTimer(g.QueueWait)
	defer timer.Stop()
	select {
	case p := <-w.ready:
		return p, nil
	case <-ctx.Done():
	case <-timer.C:
	}
	g.mu.Lock()
	removed := g.remove(w)
	expected := g.serviceTime
	g.mu.Unlock()
	if !removed {
		// A slot was assigned at the same time.
		p := <-w.ready
		if ctx.Err() == nil {
			return p, nil
		}
		p.Release(Unused)
	}
	if ctx.Err() != nil {
		return nil, outcome.NewNotRun(outcome.ReasonCancelled, "while waiting for a slot")
	}
	return nil, g.noCapacity(expected)
}

func (g *Gate) remove(w *waiter) bool {
	for i, q := range g.queue {
		if q == w {
			g.queue = append(g.queue[:i], g.queue[i+1:]...)
			return true
		}
	}
	return false
}

func (g *Gate) usableSlots() int {
	n := 0
	now := g.Now()
	for _, s := range g.servers {
		status := s.status(now)
		status.InUse = 0
		if g.MayAdmit(&status) {
			n += s.Share
		}
	}
	return n
}

// serveQueue assigns free slots to the requests that have waited longest.
func (g *Gate) serveQueue() {
	for len(g.queue) > 0 {
		p := g.tryAcquire(g.queue[0].request)
		if p == nil {
			return
		}
		g.queue[0].ready <- p
		g.queue = g.queue[1:]
	}
}
