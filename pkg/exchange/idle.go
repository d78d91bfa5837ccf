package exchange

import (
	"errors"
	"io"
	"sync"
	"syscall"
	"time"
)

// Tuning of IdleLimit.
const (
	// closeWithin is how soon after a request was sent its connection must break
	// to count as one that the peer had closed without a word: the way to another
	// region and back. A server that fails while it works takes longer as a
	// rule.
	closeWithin = 120 * time.Millisecond
	// minIdle is how long a connection must have rested to be closed by the peer while idle.
	minIdle = 100 * time.Millisecond
	// capShare is which part of the idle time of a connection closed by the peer
	// others may rest from then on.
	capShare = 0.5
	// capTTL is for how long a connection closed by the peer counts.
	capTTL = 10 * time.Second
	// minCap is the least that connections may rest.
	minCap = 50 * time.Millisecond
)

// IdleLimit learns for how long connections may rest. Peers close idle
// connections without a word, now and then sooner than they said; a request
// that may run only once and meets such a connection cannot be sent again.
// Several pools may share a limit. A nil limit limits nothing.
type IdleLimit struct {
	// Now is the clock; it must be monotonic.
	Now func() time.Time
	// OnChange is told of a limit that has changed, and after which rest a
	// connection was closed by the peer.
	OnChange func(limit, rested time.Duration)

	mu    sync.Mutex
	limit time.Duration
	until time.Time
}

// NewIdleLimit makes a limit that has learnt nothing.
func NewIdleLimit(now func() time.Time) *IdleLimit {
	return &IdleLimit{Now: now, OnChange: func(_, _ time.Duration) {}}
}

// ObserveClosed notes a connection that was closed by the peer after it had rested.
func (l *IdleLimit) ObserveClosed(idle time.Duration) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	limit := max(minCap, time.Duration(capShare*float64(idle)))
	known := now.Before(l.until)
	if known {
		limit = min(limit, l.limit)
	}
	if !known || limit != l.limit {
		l.OnChange(limit, idle)
	}
	l.limit = limit
	l.until = now.Add(capTTL)
}

// Cap returns for how long a connection may have rested that otherwise may
// have rested for the given time.
func (l *IdleLimit) Cap(most time.Duration) time.Duration {
	if l == nil {
		return most
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.Now().Before(l.until) {
		return min(most, l.limit)
	}
	return most
}

// closedByPeer reports whether the failure of an exchange is that of a connection
// which the peer had closed without a word.
func closedByPeer(c *connection, err *Error, took time.Duration) bool {
	if !c.reused || c.idleFor < minIdle || err.Stage != StageSend && err.Stage != StageHeader || took > closeWithin {
		return false
	}
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, io.EOF)
}
