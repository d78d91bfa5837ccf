package quota

import "time"

// ================================================================
// Decisions on the requests of this box's clients
// ================================================================

// Verdict is the outcome of a decision on a request.
type Verdict int

// The verdicts.
const (
	// Admitted: the request is within the limit.
	Admitted Verdict = iota
	// Refused: the request is over the limit.
	Refused
	// Waiting: the box holds no token and asks the allocator for one.
	Waiting
)

// Decision is the verdict on one request.
type Decision struct {
	Verdict Verdict
	// RetryAfter is the delay after which the client may retry, if the request is refused.
	RetryAfter time.Duration
	// Answered is closed when the allocator has answered, if the request is waiting; the
	// caller then calls Recheck.
	Answered <-chan struct{}
}

// Arrive decides on a request of a customer, or to a backend server, that has just arrived.
func (l *Limiter) Arrive(id ID) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(id)
	if a == nil {
		return Decision{}
	}
	a.arrive(l.Now())
	l.touch(a)
	d := l.decide(a)
	if d.Verdict == Waiting {
		a.waiting++
		l.reportNow(a)
	}
	return d
}

// Recheck decides again on a request that has waited. With last set, the request is refused
// instead of waiting longer.
func (l *Limiter) Recheck(id ID, last bool) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(id)
	if a == nil {
		return Decision{}
	}
	d := l.decide(a)
	if d.Verdict == Waiting && last {
		d = l.refuse(a)
	}
	if d.Verdict != Waiting {
		a.waiting = max(0, a.waiting-1)
	}
	return d
}

// Stats are the counts of the requests under a limit at this box since it started. They wrap
// around after 4,294,967,295.
type Stats struct {
	Arrived  uint32
	Admitted uint32
	Refused  uint32
	// PerSecond is the recent rate of arrivals.
	PerSecond float64
	// Held is the number of unused tokens at the box.
	Held int
}

// Stats returns the counts of a limit at this box; they are all zero if nothing is known of
// it.
func (l *Limiter) Stats(id ID) Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[id]
	if a == nil {
		c := l.retired[id]
		return Stats{Arrived: c.arrived, Admitted: c.arrived - c.refused, Refused: c.refused}
	}
	return Stats{
		Arrived: a.arrived, Admitted: a.arrived - a.refused - uint32(a.waiting), Refused: a.refused,
		PerSecond: a.arrivals.now(l.Now()), Held: a.held(),
	}
}

// GiveBack returns the token of a request that was admitted but did not run.
func (l *Limiter) GiveBack(id ID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.account(id); a != nil {
		a.giveBack()
		l.touch(a)
	}
}

// touch marks an account as changed.
func (l *Limiter) touch(a *account) {
	a.changed = true
	l.dirty[a.id] = a
}

// account returns the account of a limit, or nil if there is no such limit.
func (l *Limiter) account(id ID) *account {
	if _, limited := l.divide(id); !limited {
		return nil
	}
	a := l.accounts[id]
	if a == nil {
		a = newAccount(id, l.retired[id], l.Now())
		l.accounts[id] = a
		delete(l.retired, id)
	}
	return a
}

// retire drops an account. The tokens that it holds are lost.
func (l *Limiter) retire(a *account) {
	l.retired[a.id] = counts{arrived: a.arrived, used: a.ceiling, refused: a.refused}
	delete(l.accounts, a.id)
	delete(l.dirty, a.id)
}

func (l *Limiter) decide(a *account) Decision {
	switch {
	case a.take():
		return Decision{Verdict: Admitted}
	case l.Now().Before(a.exhaustedUntil):
		return l.refuse(a)
	}
	return Decision{Verdict: Waiting, Answered: a.answered}
}

func (l *Limiter) refuse(a *account) Decision {
	now := l.Now()
	a.refused++
	a.refusals.add(1, now)
	return Decision{Verdict: Refused, RetryAfter: a.retryAfter(l.Random(), now)}
}
