package relay

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// State is what is known of this box's own link to a server.
type State int

// The states.
const (
	// Working is also the state of a link of which nothing is known.
	Working State = iota
	// Suspect: the link has failed lately, which may be due to the server, or this box seems to be
	// cut off.
	Suspect
	// Broken: the server answers other boxes, but not on this link.
	Broken
)

// String returns the name of the state in logs.
func (s State) String() string { return [...]string{"working", "suspect", "broken"}[s] }

const (
	// suspectTime is how long a link stays suspect without new evidence.
	suspectTime = 5 * time.Second
	// cutOffLinks is how many links must have failed, without a sign of any server for
	// cutOffSilence, for the box to suspect all of its links.
	cutOffLinks   = 3
	cutOffSilence = 500 * time.Millisecond
)

// Paths holds what is known of this box's own links to servers, by address. Links that work are
// not kept.
type Paths struct {
	// Now is the clock; it must be monotonic.
	Now func() time.Time
	// OnChange is called with an address whose link has broken or works again. It runs under the
	// lock and must not call Paths.
	OnChange func(address string, broken bool)

	mu    sync.Mutex
	links map[string]*link
	// heardAt is when any server last connected or answered on a direct connection, and keptAt
	// when links were last kept.
	heardAt time.Time
	keptAt  time.Time
}

// link is a link that has failed.
type link struct {
	broken       bool
	suspectUntil time.Time
	// failedAt is when the link was found to fail, and answeredAt when a server last answered
	// over it on a connection that was open before.
	failedAt   time.Time
	answeredAt time.Time
}

// failing reports whether the link has failed and is not known to work again.
func (l *link) failing(now time.Time) bool { return l.broken || now.Before(l.suspectUntil) }

// NewPaths returns the state of a box that has tried no link.
func NewPaths(now func() time.Time) *Paths {
	return &Paths{Now: now, OnChange: func(string, bool) {}, links: map[string]*link{}}
}

// State returns what is known of the link to an address.
func (p *Paths) State(address string) State {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state(address)
}

func (p *Paths) state(address string) State {
	l := p.links[address]
	switch {
	case l != nil && l.broken:
		return Broken
	case l != nil && l.failing(p.Now()), p.cutOff():
		return Suspect
	}
	return Working
}

// CutOff reports whether this box seems to have lost its links to all servers.
func (p *Paths) CutOff() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cutOff()
}

func (p *Paths) cutOff() bool {
	now := p.Now()
	if len(p.links) < cutOffLinks || now.Sub(p.heardAt) < cutOffSilence {
		return false
	}
	failing := 0
	for _, l := range p.links {
		if l.failing(now) {
			failing++
		}
	}
	return failing >= cutOffLinks
}

// MayReuse reports whether a connection over the link to an address that was opened earlier may
// still be used.
func (p *Paths) MayReuse(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.links[address]; l != nil && l.broken {
		return l.answeredAt.After(l.failedAt)
	}
	return !p.cutOff()
}

// ObserveConnected records that the link to an address works.
func (p *Paths) ObserveConnected(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heardAt = p.Now()
	l := p.links[address]
	delete(p.links, address)
	if l != nil && l.broken {
		p.OnChange(address, false)
	}
}

// ObserveAnswer records that a server has answered on a direct connection.
func (p *Paths) ObserveAnswer(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heardAt = p.Now()
	l := p.links[address]
	switch {
	case l == nil:
	case l.broken:
		l.answeredAt = p.Now()
	default:
		delete(p.links, address)
	}
}

// ObserveFailed records that no direct connection could be opened, or that one was given up
// because the server's machine did not answer at all. The server may have failed.
func (p *Paths) ObserveFailed(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.suspect(address)
}

// ObserveDown records that the server itself does not accept connections.
func (p *Paths) ObserveDown(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.links[address]; l != nil && !l.broken {
		delete(p.links, address)
	}
}

// ObserveRelayed records that another box has connected to a server which this box could not
// connect to yet, or not at all if failed is true.
func (p *Paths) ObserveRelayed(address string, failed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.suspect(address)
	if failed && !l.broken {
		l.broken = true
		p.OnChange(address, true)
	}
}

// suspect marks a link as suspect and returns it. The caller holds the lock.
func (p *Paths) suspect(address string) *link {
	l := p.links[address]
	if l == nil {
		l = &link{failedAt: p.Now()}
		p.links[address] = l
	}
	l.suspectUntil = p.Now().Add(suspectTime)
	return l
}

// Broken returns up to count addresses whose links are broken, in random order.
func (p *Paths) Broken(count int) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []string
	for address, l := range p.links {
		if l.broken {
			list = append(list, address)
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(count, len(list))]
}

// CountBroken returns how many links are broken.
func (p *Paths) CountBroken() int { return len(p.Broken(math.MaxInt)) }

// AllWorkFor reports whether no link has been failing for the given time.
func (p *Paths) AllWorkFor(d time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.links) > 0 {
		p.keptAt = p.Now()
	}
	return p.keptAt.IsZero() || p.Now().Sub(p.keptAt) > d
}

// Expire drops links that are no longer suspect, and those to addresses that are not listed.
func (p *Paths) Expire(listed func(address string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, l := range p.links {
		if !l.failing(p.Now()) || !listed(address) {
			delete(p.links, address)
		}
	}
}
