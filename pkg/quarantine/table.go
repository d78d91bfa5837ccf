package quarantine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Config say when a request is held.
type Config struct {
	// Crashes is under how many backend servers' ends a request is held, and Hold for how
	// long. Each further end under it doubles that.
	Crashes int
	Hold    time.Duration
}

const (
	// maxRecords bounds the requests of which something is known: a few hundred were at
	// some server when it crashed, on a day with 89 crashes.
	maxRecords = 1024
	// maxServers bounds the servers that a record names, so that it fits one packet.
	maxServers = 16
	// maxDoublings bounds how often a hold is doubled: 10 minutes become 43 hours.
	maxDoublings = 8
	// broadcastCount is how often a change is told to all boxes, and tellAgain after what time
	// again: a datagram in a hundred is lost on a good day.
	broadcastCount = 2
	tellAgain      = 300 * time.Millisecond
)

// Record is what a box knows of a request, as it tells others. Both lists only grow, and
// what two boxes know is put together by joining them, in any order and any number of times.
type Record struct {
	Request Fingerprint
	// Crashed are the servers that crashed while they had the request.
	Crashed []string
	// Excused are those of them that do not count any more, since a server has answered
	// the request later: it had been at servers that crashed under other requests.
	Excused []string
	// Remaining is for how long the request is held yet, 0 if it is not.
	Remaining time.Duration
}

// CountedCrashes is how many crashes count against the request.
func (r *Record) CountedCrashes() int { return countCrashes(r.Crashed, r.Excused) }

func countCrashes(crashed, excused []string) int {
	n := 0
	for _, server := range crashed {
		if !slices.Contains(excused, server) {
			n++
		}
	}
	return n
}

// Table is what one box knows of requests that were at servers when they crashed.
type Table struct {
	Config func() Config
	// Now is the clock; it must be monotonic.
	Now func() time.Time
	// OnChange is told when a request is held or released, or what is known of it is
	// dropped for want of room. It runs under the table's lock and must not call it.
	OnChange func(r Record, what string)

	mu      sync.Mutex
	records map[Fingerprint]*record
	// recordCount is the number of records, read without the lock: on a day without crashes a
	// request costs no more than that.
	recordCount atomic.Int64
}

// record is a Record with what this box makes of it.
type record struct {
	crashed, excused []string
	// changed is when anything was last learnt.
	changed time.Time
	// until is the end of the hold, and heldAt how many crashes counted when it began.
	until       time.Time
	heldCrashes int
	// broadcastsLeft is how often the record is to be told yet, from tellAt on.
	broadcastsLeft int
	tellAt         time.Time
}

// NewTable makes an empty table.
func NewTable(config func() Config, now func() time.Time) *Table {
	return &Table{Config: config, Now: now, OnChange: func(Record, string) {}, records: map[Fingerprint]*record{}}
}

// Empty reports whether nothing is known of any request.
func (t *Table) Empty() bool { return t.recordCount.Load() == 0 }

// ObserveCrash notes that a server crashed while it had the request, and returns what is known of
// the request if that began to be held by it, nil if not.
func (t *Table) ObserveCrash(f Fingerprint, server string) (begun *Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.recordOf(f)
	if r == nil || slices.Contains(r.crashed, server) {
		return nil
	}
	before := t.Now().Before(r.until)
	if len(r.crashed) == maxServers && !before {
		// The list may have no room for this one, which counts all the same.
		r.heldCrashes--
		r.crashed = r.crashed[1:]
	}
	t.mergeRecord(f, r, Record{Request: f, Crashed: []string{server}})
	t.scheduleBroadcast(r)
	if before || !t.Now().Before(r.until) {
		return nil
	}
	known := r.export(f, t.Now())
	return &known
}

// ObserveAnswer notes that a server has answered the request: it crashes no servers. What held
// against it is excused, at all boxes. It reports whether the request was held.
func (t *Table) ObserveAnswer(f Fingerprint) (released bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[f]
	if r == nil || r.countedCrashes() == 0 {
		return false
	}
	released = t.Now().Before(r.until)
	t.mergeRecord(f, r, Record{Request: f, Excused: r.crashed})
	t.scheduleBroadcast(r)
	return released
}

// Merge takes in what another box knows.
func (t *Table) Merge(other Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.recordOf(other.Request)
	if r == nil {
		return
	}
	t.mergeRecord(other.Request, r, other)
	if other.Remaining > 0 && r.countedCrashes() < t.Config().Crashes {
		// The other box holds a request that was answered here.
		t.scheduleBroadcast(r)
	}
}

// Held reports whether the request is to be kept from servers, and for how long yet.
func (t *Table) Held(f Fingerprint) (left time.Duration, held bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[f]
	if r == nil {
		return 0, false
	}
	left = r.until.Sub(t.Now())
	return left, left > 0
}

// Suspected reports whether a crash counts against the request.
func (t *Table) Suspected(f Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[f]
	return r != nil && r.countedCrashes() > 0
}

// Due returns the records that all boxes are to be told now.
func (t *Table) Due() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Now()
	var due []Record
	for f, r := range t.records {
		if r.broadcastsLeft == 0 || now.Before(r.tellAt) {
			continue
		}
		r.broadcastsLeft--
		r.tellAt = now.Add(tellAgain)
		due = append(due, r.export(f, now))
	}
	return due
}

// Holds returns the records of the requests that are held.
func (t *Table) Holds() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Now()
	var held []Record
	for f, r := range t.records {
		if now.Before(r.until) {
			held = append(held, r.export(f, now))
		}
	}
	return held
}

// Expire forgets what is old. Call it from time to time.
func (t *Table) Expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Now()
	for f, r := range t.records {
		if now.Sub(r.lastActive()) > t.Config().Hold {
			t.drop(f)
		}
	}
}

// ----------------------------------------------------------------
// One record
// ----------------------------------------------------------------

func (r *record) countedCrashes() int { return countCrashes(r.crashed, r.excused) }

// lastActive is since when nothing has been learnt and nothing held.
func (r *record) lastActive() time.Time {
	if r.until.After(r.changed) {
		return r.until
	}
	return r.changed
}

func (r *record) export(f Fingerprint, now time.Time) Record {
	return Record{
		Request: f, Crashed: slices.Clone(r.crashed), Excused: slices.Clone(r.excused), Remaining: max(0, r.until.Sub(now)),
	}
}

// mergeNames puts names into a list that is in order and bounded, and reports whether it has changed.
// The first names in order stay, whichever came first: boxes that know of more crashes than a
// list names come to name the same ones. If the latest stayed, boxes whose datagrams cross
// would tell each other of them without end, and prolong their holds.
func mergeNames(list, names []string) (joined []string, changed bool) {
	joined = slices.Concat(list, names)
	slices.Sort(joined)
	joined = slices.Compact(joined)
	joined = joined[:min(len(joined), maxServers)]
	return joined, !slices.Equal(joined, list)
}

// mergeRecord puts what was told together with what is known.
func (t *Table) mergeRecord(f Fingerprint, r *record, other Record) {
	var crashed, excused bool
	r.excused, excused = mergeNames(r.excused, other.Excused)
	r.crashed, crashed = mergeNames(r.crashed, other.Crashed)
	if !crashed && !excused {
		return
	}
	r.changed = t.Now()
	t.updateHold(f, r, other.Remaining)
}

// updateHold holds the request if more crashes count against it than when it was last held,
// and releases it if fewer do than are needed. A hold that another box has begun ends as it
// does there: counted anew by each that hears of it, it would never end.
func (t *Table) updateHold(f Fingerprint, r *record, left time.Duration) {
	now, config := t.Now(), t.Config()
	n := r.countedCrashes()
	switch {
	case n < config.Crashes:
		r.heldCrashes = 0
		if now.Before(r.until) {
			r.until = now
			t.OnChange(r.export(f, now), "released")
		}
	case n > r.heldCrashes:
		hold := config.Hold << min(n-config.Crashes, maxDoublings)
		if left > 0 {
			hold = min(hold, left)
		}
		r.heldCrashes = n
		if until := now.Add(hold); until.After(r.until) {
			r.until = until
		}
		t.OnChange(r.export(f, now), "held")
	}
}

// scheduleBroadcast has all boxes told of the record.
func (t *Table) scheduleBroadcast(r *record) {
	r.broadcastsLeft = broadcastCount
	r.tellAt = time.Time{}
}

// ----------------------------------------------------------------
// All records
// ----------------------------------------------------------------

// recordOf returns the record of a request, a new one if there is none, and nil if there is
// no room: all others are held.
func (t *Table) recordOf(f Fingerprint) *record {
	if r := t.records[f]; r != nil {
		return r
	}
	if len(t.records) >= maxRecords && !t.makeRoom() {
		t.OnChange(Record{Request: f}, "not noted")
		return nil
	}
	r := &record{changed: t.Now()}
	t.records[f] = r
	t.recordCount.Store(int64(len(t.records)))
	return r
}

// makeRoom drops the record that is not held and was learnt of longest ago.
func (t *Table) makeRoom() bool {
	now := t.Now()
	var oldest *record
	var at Fingerprint
	for f, r := range t.records {
		if now.Before(r.until) {
			continue
		}
		if oldest == nil || r.changed.Before(oldest.changed) {
			oldest, at = r, f
		}
	}
	if oldest == nil {
		return false
	}
	t.drop(at)
	return true
}

func (t *Table) drop(f Fingerprint) {
	delete(t.records, f)
	t.recordCount.Store(int64(len(t.records)))
}
