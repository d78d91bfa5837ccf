// Package idempotency remembers which idempotency keys this box has taken, so that a
// request that may not be repeated runs at most once.
//
// Every key belongs to one life of one box: its owner, named by the ticket
// that a look-up gave the caller and that the key starts with. Only the owner may send the request to a
// backend server, wherever the caller's repeats land. So there is nothing to
// agree on: the owner's own memory is the truth, and if the owner is dead the
// truth is lost with it and the answer is "unknown", never a second run.
//
// Example: a studio buys a licence with key K and a ticket of box dakar-a-1,
// and the answer is lost. It sends K again through thies-b-1, which passes it
// to dakar-a-1. That box finds K in flight, waits with it, and both get the
// one answer.
package idempotency

import (
	"container/list"
	"context"
	"sync"
	"time"

	"github.com/stoneworks/stoneworks/pkg/outcome"
)

// Answer is a kept answer to a request.
type Answer struct {
	Status int
	Header [][2]string
	Body   []byte
	// Server and Zone say who answered.
	Server string
	Zone   string
}

// state is how far a record has come.
type state int

const (
	inFlight state = iota
	answered
	// notKept: it ran, but its answer was too large to keep.
	notKept
	unknown
)

// Key names one request of one service.
type Key struct {
	Service string
	Key     string
	// Fingerprint is a digest of method, path and body length. A repeat
	// that differs is a mistake of the caller and is refused.
	Fingerprint uint64
}

type record struct {
	key     Key
	state   state
	taken   time.Duration // age of the box when the key was taken
	answer  *Answer
	failure *outcome.Failure
	done    chan struct{}
	place   *list.Element
}

// Table is the owner's memory. Its size is bounded in number and in age.
type Table struct {
	// Age returns how long this box has run; it also counts while the
	// process stands still.
	Age func() time.Duration
	// MaxRecords and MaxAge bound the table.
	MaxRecords int
	MaxAge     time.Duration

	mu      sync.Mutex
	records map[string]*record
	oldest  *list.List
}

// NewTable makes an empty table.
func NewTable(maxRecords int, maxAge time.Duration, age func() time.Duration) *Table {
	return &Table{
		Age:        age,
		MaxRecords: maxRecords,
		MaxAge:     maxAge,
		records:    map[string]*record{},
		oldest:     list.New(),
	}
}

// Len returns the number of records.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records)
}

// Begin takes the key. issued is the box's age at which the ticket was given.
//
// If first is true the caller must run the request and then call exactly one
// of the run's methods. Otherwise the key was taken before, and repeat waits
// for its end.
func (t *Table) Begin(k Key, issued time.Duration) (run *Execution, first bool, failure *outcome.Failure) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	name := k.Service + "\x00" + k.Key
	if r, ok := t.records[name]; ok {
		if r.key.Fingerprint != k.Fingerprint {
			return nil, false, outcome.NewUnknown(outcome.ReasonBadRequest, "this Idempotency-Key was used for a different request")
		}
		return &Execution{table: t, record: r}, false, nil
	}
	if t.Age()-issued > t.MaxAge {
		return nil, false, outcome.NewUnknown(outcome.ReasonStaleTicket, "the ticket is older than keys are remembered")
	}
	if len(t.records) >= t.MaxRecords {
		return nil, false, outcome.NewNotRun(outcome.ReasonRecordsFull, "").WithRetryAfter(time.Second)
	}
	r := &record{key: k, taken: t.Age(), done: make(chan struct{})}
	r.place = t.oldest.PushBack(r)
	t.records[name] = r
	return &Execution{table: t, record: r}, true, nil
}

// expire forgets records that are older than any ticket that could still name
// them. Records in flight stay.
func (t *Table) expire() {
	// A ticket is at most MaxAge old when its key is taken, so a repeat with
	// the same ticket is refused by its age from taken+MaxAge on.
	for e := t.oldest.Front(); e != nil; {
		r := e.Value.(*record)
		if t.Age()-r.taken <= t.MaxAge {
			return
		}
		next := e.Next()
		if r.state != inFlight {
			t.remove(r)
		}
		e = next
	}
}

func (t *Table) remove(r *record) {
	delete(t.records, r.key.Service+"\x00"+r.key.Key)
	t.oldest.Remove(r.place)
}

// Execution is one key being run, or joined.
type Execution struct {
	table  *Table
	record *record
}

// Complete ends the run with an answer. A nil answer means that it was passed
// on but was too large to keep.
func (r *Execution) Complete(a *Answer) {
	if a == nil {
		r.finish(notKept, nil, nil)
		return
	}
	r.finish(answered, a, nil)
}

// Fail ends the run without an answer. If the failure says "not run", the
// key is free again; otherwise it stays taken for good.
func (r *Execution) Fail(f *outcome.Failure) {
	r.finish(unknown, nil, f)
}

func (r *Execution) finish(s state, a *Answer, f *outcome.Failure) {
	t := r.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.record.state != inFlight {
		return
	}
	r.record.state = s
	r.record.answer = a
	r.record.failure = f
	if f != nil && f.Outcome == outcome.NotRun {
		t.remove(r.record)
	}
	close(r.record.done)
}

// Wait waits for the run that took the key, and returns its end.
func (r *Execution) Wait(ctx context.Context) (*Answer, *outcome.Failure) {
	select {
	case <-r.record.done:
	case <-ctx.Done():
		return nil, outcome.NewUnknown(outcome.ReasonTimeout, "an earlier request with this key is still running")
	}
	t := r.table
	t.mu.Lock()
	defer t.mu.Unlock()
	switch r.record.state {
	case answered:
		return r.record.answer, nil
	case notKept:
		return nil, outcome.NewUnknown(outcome.ReasonAnswerNotKept, "")
	default:
		return nil, r.record.failure
	}
}
