package quarantine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Config says when and for how long a request is held.
type Config struct {
	// Crashes is how many backend servers must have crashed under a request for it to be held,
	// and Hold for how long. Each further crash under it doubles that time.
	Crashes int
	Hold    time.Duration
}

const (
	// maxRecords bounds the requests with a record: on a day with 89 crashes, a few hundred
	// were at a server when it crashed.
	maxRecords = 1024
	// maxServers bounds the servers that a record names, so that it fits into one packet.
	maxServers = 16
	// maxDoublings bounds how often the time of a hold is doubled: 10 minutes become 43 hours.
	maxDoublings = 8
	// broadcastCount is how often a change is sent to all boxes, and rebroadcastDelay the time
	// between two sends: even normally one datagram in a hundred is lost.
	broadcastCount   = 2
	rebroadcastDelay = 300 * time.Millisecond
)

// Record is what a box knows of a request, as it is sent to other boxes. The records of two boxes
// are merged by joining the lists, in any order and any number of times. Lists only grow, but for
// one case: a full list gives up its first name for that of a server that crashes after the hold
// has ended, since this crash has to count. Other boxes may return the name.
type Record struct {
	Request Fingerprint
	// Crashed are the servers that crashed while they had the request.
	Crashed []string
	// Excused are those of them that no longer count, since a server has answered the request
	// later: the request had been at servers that crashed under other requests.
	Excused []string
	// Remaining is how much longer the request is held, 0 if it is not.
	Remaining time.Duration
}

// CountedCrashes returns how many crashes count against the request.
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
	// OnChange is called when a request is held or released, or when there is no space for its
	// record. It runs under the table's lock and must not call the table.
	OnChange func(r Record, change string)

	mu      sync.Mutex
	records map[Fingerprint]*record
	// recordCount is the number of records. It is read without the lock, so that a request
	// costs no more than that while no crashes are known.
	recordCount atomic.Int64
}

// record is a Record with what this box keeps about it.
type record struct {
	crashed, excused []string
	// changed is when the record last changed.
	changed time.Time
	// until is the end of the hold, and heldCrashes how many crashes counted when it began.
	until       time.Time
	heldCrashes int
	// broadcastsLeft is how often the record still has to be broadcast, from nextBroadcast on.
	broadcastsLeft int
	nextBroadcast  time.Time
}

// NewTable returns an empty table.
func NewTable(config func() Config, now func() time.Time) *Table {
	return &Table{Config: config, Now: now, OnChange: func(Record, string) {}, records: map[Fingerprint]*record{}}
}

// Empty reports whether the table has no records.
func (t *Table) Empty() bool { return t.recordCount.Load() == 0 }

// ObserveCrash records that a server crashed while it had the request. It returns the record
// of the request if this crash began a hold, otherwise nil.
func (t *Table) ObserveCrash(f Fingerprint, server string) (newHold *Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.recordOf(f)
	if r == nil || slices.Contains(r.crashed, server) {
		return nil
	}
	before := t.Now().Before(r.until)
	if len(r.crashed) == maxServers && !before {
		// The full list may have no space for this server, whose crash has to count all the same.
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

// ObserveAnswer records that a server has answered the request, so that it is known not to
// crash servers. The crashes that counted against it are excused, at all boxes. It reports
// whether the request was held.
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

// Merge merges the record of another box into the table.
func (t *Table) Merge(other Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.recordOf(other.Request)
	if r == nil {
		return
	}
	t.mergeRecord(other.Request, r, other)
	if other.Remaining > 0 && r.countedCrashes() < t.Config().Crashes {
		// The other box holds a request that has been answered here, so it is sent this record.
		t.scheduleBroadcast(r)
	}
}

// Held reports whether the request is to be kept from servers, and for how much longer.
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

// Due returns the records that have to be broadcast now.
func (t *Table) Due() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Now()
	var due []Record
	for f, r := range t.records {
		if r.broadcastsLeft == 0 || now.Before(r.nextBroadcast) {
			continue
		}
		r.broadcastsLeft--
		r.nextBroadcast = now.Add(rebroadcastDelay)
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

// Expire drops old records. It has to be called periodically.
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

// lastActive returns the time of the last change or the end of the hold, whichever is later.
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

// mergeNames adds names to a sorted list of bounded length, and reports whether it has
// changed. The first names in sorted order stay, whichever were added first, so that boxes
// that know of more crashes than a list holds end with the same names. If the latest ones
// stayed, boxes whose datagrams cross would send them to each other without end and prolong
// their holds.
func mergeNames(list, names []string) (joined []string, changed bool) {
	joined = slices.Concat(list, names)
	slices.Sort(joined)
	joined = slices.Compact(joined)
	joined = joined[:min(len(joined), maxServers)]
	return joined, !slices.Equal(joined, list)
}

// mergeRecord merges another record of a request into what is known of it.
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
// and releases it if fewer do than are needed. A hold that another box has begun ends when it
// ends there: if each box that learns of it started its full time again, it would never end.
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

// scheduleBroadcast schedules the record to be sent to all boxes.
func (t *Table) scheduleBroadcast(r *record) {
	r.broadcastsLeft = broadcastCount
	r.nextBroadcast = time.Time{}
}

// ----------------------------------------------------------------
// All records
// ----------------------------------------------------------------

// recordOf returns the record of a request, a new one if there is none, and nil if the table
// is full since all other requests are held.
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

// makeRoom drops the record that changed longest ago of those that are not held, and reports
// whether there was one.
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
