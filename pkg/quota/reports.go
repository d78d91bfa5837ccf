package quota

import (
	"slices"
	"time"
)

// ================================================================
// What a box tells allocators and hears from them.
// ================================================================

// Tick does what is due: call it every ReportEvery, with what is known of other
// boxes.
func (l *Limiter) Tick(v View) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	l.allocator.advance(now)
	l.view = v
	l.allocator.loans.zones = v.Zones
	l.lending.choose(v.First, now)
	l.ticks++
	cleanUp := l.ticks%cleanUpTicks == 0
	if cleanUp {
		l.cleanUp(now)
	}
	l.report(v.Weight > 0 && l.ticks%idleTicks == 0)
	l.allocator.tick(cleanUp)
}

// cleanUp gives unused tokens back and drops accounts of customers that send nothing.
func (l *Limiter) cleanUp(now time.Time) {
	for _, a := range l.accounts {
		if a.returnIdle(owner(a.id, l.lending.target), now) {
			l.touch(a)
		}
		if !a.changed && a.waiting == 0 && now.Sub(a.usedAt) > forgetAfter {
			l.retire(a)
		}
	}
}

// TakeMessages returns what is to be sent now.
func (l *Limiter) TakeMessages() []Envelope {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := l.out
	l.out = nil
	return out
}

// Receive takes in a message; address is where it came from.
func (l *Limiter) Receive(m *Message, address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.receive(m, Box{Key: m.From, Address: address})
}

func (l *Limiter) receive(m *Message, from Box) {
	l.allocator.advance(l.Now())
	switch {
	case m.Report != nil && l.isLimited():
		// One that knows no limits yet says nothing, so that others are asked.
		l.allocator.report(from, m.Report)
	case m.Ask != nil:
		l.allocator.lend(from, m.Ask)
	case m.Loan != nil:
		l.allocator.borrowed(from, m.Loan)
	case m.Grant != nil:
		l.granted(m.Grant, from)
	}
}

// granted takes in what this box was granted. A first answer is reported at once: only
// then does what this box lends count.
func (l *Limiter) granted(m *Grant, from Box) {
	if m.Incarnation != l.Incarnation {
		return
	}
	p := l.lending.peers[from.Key]
	first := p != nil && p.echo.Incarnation != m.Stamp.Incarnation && slices.Contains(l.lending.target, from.Key)
	l.lending.heard(from.Key, m.Stamp)
	now := l.Now()
	for _, c := range m.Ceilings {
		if a := l.accounts[c.ID]; a != nil {
			l.isGranted = a.applyCeiling(c, now) || l.isGranted
		}
	}
	if first {
		l.reportTo(p, nil, now)
	}
}

// send hands a message over; one to this box itself is taken in at once.
func (l *Limiter) send(to Box, m Message) {
	m.From = l.Self.Key
	if to.Key == l.Self.Key {
		l.receive(&m, l.Self)
		return
	}
	l.out = append(l.out, Envelope{To: to, Message: m})
}

// reportNow tells of one account at once, since a request waits. What has changed of
// others is told with the next tick: looking at all for each request that waits would
// take time with the number of customers.
func (l *Limiter) reportNow(a *account) {
	now := l.Now()
	l.allocator.advance(now)
	p := l.lending.peers[owner(a.id, l.lending.target)]
	if p == nil {
		// Before the first tick nobody is known yet.
		return
	}
	a.changed, a.reportedAt = false, now
	l.reportTo(p, []Usage{a.usage(p.box.Key, now)}, now)
}

// report tells each allocator what has changed of its customers, and where bare is
// set also those of whom nothing has.
func (l *Limiter) report(bare bool) {
	now := l.Now()
	changed := map[uint64][]Usage{}
	for id, a := range l.dirty {
		if !a.due(now) {
			if !a.mayBeDue(now) {
				delete(l.dirty, id)
			}
			continue
		}
		a.changed, a.reportedAt = false, now
		key := owner(id, l.lending.target)
		changed[key] = append(changed[key], a.usage(key, now))
	}
	for _, key := range l.lending.target {
		if p := l.lending.peers[key]; bare || len(changed[key]) > 0 {
			l.reportTo(p, changed[key], now)
		}
	}
}

// reportTo sends a report, in as many messages as it needs.
func (l *Limiter) reportTo(p *lendingPeer, usage []Usage, now time.Time) {
	p.told = now
	if p.asked.IsZero() {
		p.asked = now
	}
	for first := true; first || len(usage) > 0; first = false {
		n := min(len(usage), maxEntries)
		r := &Report{Incarnation: l.Incarnation, Echo: p.echo, Allocators: l.lending.lent(now), Usage: usage[:n]}
		if l.lending.lends(p, now) {
			r.Weight = l.view.Weight
			l.lending.hasLent = l.lending.hasLent || r.Weight > 0
		}
		if p.box.Key == l.Self.Key {
			r.Echo = l.allocator.stamp()
		}
		usage = usage[n:]
		l.send(p.box, Message{Report: r})
	}
}
