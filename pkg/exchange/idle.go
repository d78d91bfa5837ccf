package exchange

import (
	"errors"
	"io"
	"sync"
	"syscall"
	"time"
)

// Parameters of IdleLimit.
const (
	// closeWithin is how soon after a request was sent its connection must fail for it to
	// count as closed by the peer while idle: the round trip to another region. A server that
	// fails while it processes a request usually takes longer.
	closeWithin = 120 * time.Millisecond
	// minIdle is how long a connection must have been idle to count as closed by the peer
	// while idle.
	minIdle = 100 * time.Millisecond
	// capShare is the share of the idle time of a connection closed by the peer for which
	// other connections may be idle from then on.
	capShare = 0.5
	// capTTL is for how long a connection closed by the peer has an effect.
	capTTL = 10 * time.Second
	// minCap is the lowest cap of the idle time of connections.
	minCap = 50 * time.Millisecond
)

// IdleLimit learns for how long connections may be idle. Peers close idle connections without
// notice, sometimes earlier than they announced. A request that may run only once and is sent
// on such a connection cannot be sent again. Several pools may share a limit. A nil limit
// limits nothing.
type IdleLimit struct {
	// Now is the clock; it must be monotonic.
	Now func() time.Time
	// OnChange is called with a limit that has changed and with the idle time after which the
	// peer closed a connection.
	OnChange func(limit, idle time.Duration)

	mu    sync.Mutex
	limit time.Duration
	until time.Time
}

// NewIdleLimit returns a limit that has learnt nothing.
func NewIdleLimit(now func() time.Time) *IdleLimit {
	return &IdleLimit{Now: now, OnChange: func(_, _ time.Duration) {}}
}

// ObserveClosed records a connection that the peer closed after it had been idle.
func (l *IdleLimit) ObserveClosed(idleFor time.Duration) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	limit := max(minCap, time.Duration(capShare*float64(idleFor)))
	known := now.Before(l.until)
	if known {
		limit = min(limit, l.limit)
	}
	if !known || limit != l.limit {
		l.OnChange(limit, idleFor)
	}
	l.limit = limit
	l.until = now.Add(capTTL)
}

// Cap returns for how long a connection may be idle that could otherwise be idle for the given
// time.
func (l *IdleLimit) Cap(maxIdle time.Duration) time.Duration {
	if l == nil {
		return maxIdle
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.Now().Before(l.until) {
		return min(maxIdle, l.limit)
	}
	return maxIdle
}

// closedByPeer reports whether an exchange failed because the peer had closed the idle
// connection without notice.
func closedByPeer(c *connection, err *Error, took time.Duration) bool {
	if !c.reused || c.via() != "" || c.idleFor < minIdle || err.Stage != StageSend && err.Stage != StageHeader || took > closeWithin {
		return false
	}
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, io.EOF)
}
