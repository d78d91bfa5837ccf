package serverstatus

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/stoneworks/stoneworks/pkg/backend"
)

const (
	// maxRecords bounds the number of records: all of a fleet's 1,400 servers may name limits
	// at once.
	maxRecords = 4096
	// broadcastCount is how often a change is sent to all boxes, and rebroadcastDelay the time
	// between two sends: even normally one datagram in a hundred is lost.
	broadcastCount   = 2
	rebroadcastDelay = 300 * time.Millisecond
	// minBroadcastInterval is the least time between the broadcasts of two changes of a
	// server, since it may name another limit in each answer.
	minBroadcastInterval = time.Second
)

// Table is what one box knows of servers' statuses.
type Table struct {
	// Now is the clock; it must be monotonic.
	Now func() time.Time
	// OnChange is called when a server's limit begins, changes or ends, when a server leaves,
	// and when the record of a server is dropped. It runs under the table's lock and must not
	// call the table.
	OnChange func(r Record, change Change)

	mu      sync.Mutex
	records map[string]*entry
	// limitCount is how many servers name a limit, and leavingCount how many leave. They are
	// read without the lock, so that a request costs no more than that while there are no
	// limits.
	limitCount, leavingCount atomic.Int64
}

// Change is a kind of change of a server's status.
type Change int

// The kinds of changes.
const (
	// LimitBegun: the server names a limit, and did not before.
	LimitBegun Change = iota
	// LimitChanged: the server names another limit.
	LimitChanged
	// LimitEnded: the server no longer names a limit.
	LimitEnded
	// ServerLeaving: the server leaves.
	ServerLeaving
	// ServerForgotten: the record has been dropped, since the server is gone or for want of space.
	ServerForgotten
)

// changeNames are the names of the changes in logs, by value.
var changeNames = [...]string{"begun", "changed", "ended", "leaves", "forgotten"}

// String returns the change's name in logs.
func (c Change) String() string { return changeNames[c] }

// entry is a Record with what this box keeps about it.
type entry struct {
	Record
	// limitSeen is when an answer to this box last named the limit, or another box first
	// reported it.
	limitSeen time.Time
	// broadcastsLeft is how often the record still has to be broadcast, from nextBroadcast on.
	// lastBroadcast is when it was last broadcast.
	broadcastsLeft               int
	nextBroadcast, lastBroadcast time.Time
	// changed is when the limit last changed.
	changed time.Time
	// unlistedSince is since when the server has not been listed, zero while it is.
	unlistedSince time.Time
}

// NewTable returns an empty table.
func NewTable(now func() time.Time) *Table {
	return &Table{Now: now, OnChange: func(Record, Change) {}, records: map[string]*entry{}}
}

// Empty reports whether no server is known to name a limit.
func (t *Table) Empty() bool { return t.limitCount.Load() == 0 }

// ObserveAnswer processes an answer of a server to a request of this box that was sent at the
// given time. If ran is false, the server has not run the request; an answer of this kind
// without a limit does not end one.
func (t *Table) ObserveAnswer(server *backend.Server, limit backend.RateLimit, ran bool, sent time.Time) {
	if !limit.Present && t.Empty() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	incarnation := server.Incarnation()
	e := t.records[incarnation]
	switch {
	case limit.Present:
		t.applyAnswer(e, Record{Server: incarnation, Zone: server.Zone, HasLimit: true, PerSecond: limit.PerSecond})
	case e != nil && e.HasLimit && ran && sent.After(e.limitSeen):
		t.setLimit(e, Record{Server: incarnation, Zone: server.Zone, LimitVersion: e.LimitVersion + 1})
		e.scheduleBroadcast()
	}
}

// MarkLeaving records that a server says that it leaves.
func (t *Table) MarkLeaving(server *backend.Server) {
	t.mu.Lock()
	defer t.mu.Unlock()
	incarnation := server.Incarnation()
	e := t.records[incarnation]
	if e == nil {
		if e = t.add(incarnation); e == nil {
			return
		}
	}
	if e.Leaving {
		return
	}
	e.Zone = server.Zone
	t.setLeaving(e)
	e.scheduleBroadcast()
}

// IsLeaving reports whether an incarnation of a server is known to leave.
func (t *Table) IsLeaving(incarnation string) bool {
	if t.leavingCount.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.records[incarnation]
	return e != nil && e.Leaving
}

// applyAnswer applies a limit that an answer names.
func (t *Table) applyAnswer(e *entry, r Record) {
	if e == nil {
		if e = t.add(r.Server); e == nil {
			return
		}
	}
	e.limitSeen = t.Now()
	if e.HasLimit && e.PerSecond == r.PerSecond {
		return
	}
	r.LimitVersion = e.LimitVersion + 1
	t.setLimit(e, r)
	e.scheduleBroadcast()
}

// Merge merges the record of another box into the table.
func (t *Table) Merge(other Record) {
	if !(other.PerSecond >= 0) {
		// NaN or negative: no box sends this, so the record says nothing about a limit.
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.records[other.Server]
	if e == nil {
		if e = t.add(other.Server); e == nil {
			return
		}
	}
	if other.Leaving && !e.Leaving {
		e.Zone = other.Zone
		t.setLeaving(e)
	}
	if !other.supersedes(&e.Record) {
		if other.HasLimit && !e.HasLimit {
			// The other box has restarted since and counts versions from the beginning. Once it
			// knows this record, the next limit that the server names gets a higher version.
			e.scheduleBroadcast()
		}
		return
	}
	if other.HasLimit {
		e.limitSeen = t.Now()
	}
	t.setLimit(e, other)
}

// LimitOf returns the limit of an incarnation of a server, and whether it names one.
func (t *Table) LimitOf(incarnation string) (perSecond float64, limited bool) {
	if t.Empty() {
		return 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.records[incarnation]
	if e == nil {
		return 0, false
	}
	return e.PerSecond, e.HasLimit
}

// Due returns the records that have to be broadcast now.
func (t *Table) Due() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Now()
	var due []Record
	for _, e := range t.records {
		first := e.broadcastsLeft == broadcastCount
		if e.broadcastsLeft == 0 || now.Before(e.nextBroadcast) || first && !e.lastBroadcast.IsZero() && now.Sub(e.lastBroadcast) < minBroadcastInterval {
			continue
		}
		e.broadcastsLeft--
		e.nextBroadcast, e.lastBroadcast = now.Add(rebroadcastDelay), now
		due = append(due, e.Record)
	}
	return due
}

// All returns all records, ordered by server.
func (t *Table) All() []Record { return t.list(func(*entry) bool { return true }) }

// Active returns the records of servers that name limits or leave, or whose limit has changed
// within the given time.
func (t *Table) Active(within time.Duration) []Record {
	now := t.Now()
	return t.list(func(e *entry) bool { return e.HasLimit || e.Leaving || now.Sub(e.changed) < within })
}

func (t *Table) list(wanted func(e *entry) bool) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]Record, 0, len(t.records))
	for _, e := range t.records {
		if wanted(e) {
			list = append(list, e.Record)
		}
	}
	slices.SortFunc(list, func(a, b Record) int { return strings.Compare(a.Server, b.Server) })
	return list
}

// Expire drops the records of incarnations that have not been listed for longer than the given
// time.
func (t *Table) Expire(listed func(incarnation string) bool, after time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Now()
	for incarnation, e := range t.records {
		switch {
		case listed(incarnation):
			e.unlistedSince = time.Time{}
		case e.unlistedSince.IsZero():
			e.unlistedSince = now
		case now.Sub(e.unlistedSince) > after:
			t.drop(incarnation)
		}
	}
}

// ----------------------------------------------------------------
// One record
// ----------------------------------------------------------------

// scheduleBroadcast schedules the record to be sent to all boxes.
func (e *entry) scheduleBroadcast() {
	e.broadcastsLeft = broadcastCount
	e.nextBroadcast = time.Time{}
}

// setLeaving records that a server leaves.
func (t *Table) setLeaving(e *entry) {
	e.Leaving = true
	t.leavingCount.Add(1)
	t.OnChange(e.Record, ServerLeaving)
}

// setLimit sets or ends the limit of an entry.
func (t *Table) setLimit(e *entry, r Record) {
	before := e.Record
	r.Leaving = before.Leaving
	e.Record, e.changed = r, t.Now()
	switch {
	case r.HasLimit && !before.HasLimit:
		t.limitCount.Add(1)
		t.OnChange(r, LimitBegun)
	case r.HasLimit && before.PerSecond != r.PerSecond:
		t.OnChange(r, LimitChanged)
	case !r.HasLimit && before.HasLimit:
		t.limitCount.Add(-1)
		t.OnChange(r, LimitEnded)
	}
}

// add adds a record for a server. It returns nil if the table is full.
func (t *Table) add(server string) *entry {
	if len(t.records) >= maxRecords && !t.makeRoom() {
		return nil
	}
	e := &entry{Record: Record{Server: server}}
	t.records[server] = e
	return e
}

// makeRoom drops a record of a server that neither names a limit nor leaves, and reports
// whether there was one.
func (t *Table) makeRoom() bool {
	for incarnation, e := range t.records {
		if !e.HasLimit && !e.Leaving {
			t.drop(incarnation)
			return true
		}
	}
	return false
}

func (t *Table) drop(incarnation string) {
	e := t.records[incarnation]
	delete(t.records, incarnation)
	if e.HasLimit {
		t.limitCount.Add(-1)
	}
	if e.Leaving {
		t.leavingCount.Add(-1)
	}
	t.OnChange(e.Record, ServerForgotten)
}
