package quota

import (
	"slices"
	"time"
)

// ================================================================
// Reports to allocators and their answers
// ================================================================

// Tick does the periodic work. Call it every ReportEvery with what is known of other boxes.
func (l *Limiter) Tick(v View) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	l.allocator.advance(now)
	l.view = v
	l.allocator.loans.zones = v.Zones
	l.lender.choose(v.First, now)
	l.ticks++
	cleanUp := l.ticks%cleanUpTicks == 0
	if cleanUp {
		l.cleanUp(now)
	}
	l.report(v.Weight > 0 && l.ticks%idleTicks == 0)
	l.allocator.tick(cleanUp)
}

// cleanUp returns unused tokens and drops accounts of customers that send nothing.
func (l *Limiter) cleanUp(now time.Time) {
	for _, a := range l.accounts {
		if a.returnIdle(owner(a.id, l.lender.allocators), now) {
			l.touch(a)
		}
		if !a.changed && a.waiting == 0 && now.Sub(a.usedAt) > forgetAfter {
			l.retire(a)
		}
	}
}

// TakeMessages removes and returns the messages to be sent.
func (l *Limiter) TakeMessages() []Envelope {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := l.outgoing
	l.outgoing = nil
	return out
}

// Receive handles a message; address is where it came from.
func (l *Limiter) Receive(m *Message, address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.receive(m, Box{Key: m.From, Address: address})
}

func (l *Limiter) receive(m *Message, from Box) {
	l.allocator.advance(l.Now())
	switch {
	case m.Report != nil && l.hasLimits():
		// A box that knows no limits yet does not answer, so that others are asked.
		l.allocator.report(from, m.Report)
	case m.LoanRequest != nil:
		l.allocator.lend(from, m.LoanRequest)
	case m.Loan != nil:
		l.allocator.receiveLoan(from, m.Loan)
	case m.Grant != nil:
		l.receiveGrant(m.Grant, from)
	}
}

// receiveGrant handles a grant. The first answer of an allocator is followed by a report at
// once: only a report that echoes the allocator's stamp makes the box's lease count.
func (l *Limiter) receiveGrant(m *Grant, from Box) {
	if m.Incarnation != l.Incarnation {
		return
	}
	p := l.lender.peers[from.Key]
	first := p != nil && p.echo.Incarnation != m.Stamp.Incarnation && slices.Contains(l.lender.allocators, from.Key)
	l.lender.answered(from.Key, m.Stamp)
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

// send queues a message; one to this box itself is handled at once.
func (l *Limiter) send(to Box, m Message) {
	m.From = l.Self.Key
	if to.Key == l.Self.Key {
		l.receive(&m, l.Self)
		return
	}
	l.outgoing = append(l.outgoing, Envelope{To: to, Message: m})
}

// reportNow reports one account at once, since a request waits. Changes of other accounts are
// reported with the next tick: looking at all of them for each waiting request would take time
// in proportion to the number of customers.
func (l *Limiter) reportNow(a *account) {
	now := l.Now()
	l.allocator.advance(now)
	p := l.lender.peers[owner(a.id, l.lender.allocators)]
	if p == nil {
		// No allocator is known before the first tick.
		return
	}
	a.changed, a.reportedAt = false, now
	l.reportTo(p, []Usage{a.usage(p.box.Key, now)}, now)
}

// report reports to each allocator the accounts of its customers that are due. With evenEmpty
// set, it also reports to allocators without any.
func (l *Limiter) report(evenEmpty bool) {
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
		key := owner(id, l.lender.allocators)
		changed[key] = append(changed[key], a.usage(key, now))
	}
	for _, key := range l.lender.allocators {
		if p := l.lender.peers[key]; evenEmpty || len(changed[key]) > 0 {
			l.reportTo(p, changed[key], now)
		}
	}
}

// reportTo sends a report, in as many messages as it needs.
func (l *Limiter) reportTo(p *allocatorPeer, usage []Usage, now time.Time) {
	p.reportedAt = now
	if p.unansweredSince.IsZero() {
		p.unansweredSince = now
	}
	for first := true; first || len(usage) > 0; first = false {
		n := min(len(usage), maxEntries)
		r := &Report{Incarnation: l.Incarnation, Echo: p.echo, Allocators: l.lender.leaseHolders(now), Usage: usage[:n]}
		if l.lender.mayLend(p, now) {
			r.Weight = l.view.Weight
			l.lender.hasLent = l.lender.hasLent || r.Weight > 0
		}
		if p.box.Key == l.Self.Key {
			r.Echo = l.allocator.stamp()
		}
		usage = usage[n:]
		l.send(p.box, Message{Report: r})
	}
}
