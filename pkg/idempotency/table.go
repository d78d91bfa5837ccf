// Package idempotency records the idempotency keys that this box has accepted, so that a
// request that is not idempotent runs at most once.
//
// Each key belongs to one incarnation of one box, its owner. The key starts with the
// ticket that a look-up gave the caller, and the ticket names the owner. Only the owner
// sends the request to a backend server, whichever box receives the caller's retries. So
// boxes need no agreement: the owner's table is authoritative. If the owner has died, its
// table is lost and the outcome is "unknown"; the request never runs a second time.
//
// Example: a studio buys a licence with key K and a ticket of box dakar-a-1, and the
// answer is lost. It retries K through thies-b-1, which forwards it to dakar-a-1. That box
// finds K in flight and waits for its end, and both requests get the same answer.
package idempotency

import (
	"container/list"
	"context"
	"sync"
	"time"

	"github.com/stoneworks/stoneworks/pkg/outcome"
)

// Answer is a stored answer to a request.
type Answer struct {
	Status int
	Header [][2]string
	Body   []byte
	// Server and Zone name the backend server that answered and its zone.
	Server string
	Zone   string
	// StreamDigest is a digest of the body of a request that was streamed, if that was read to
	// its end.
	StreamDigest    uint64
	HasStreamDigest bool
}

// state is the state of a record.
type state int

const (
	inFlight state = iota
	answered
	// notKept means that the request ran but its answer was too large to store.
	notKept
	unknown
)

// Key identifies a request of a service.
type Key struct {
	Service string
	Key     string
	// Fingerprint is a digest of method, path, body length and the body unless it is streamed.
	// A retry with another fingerprint is an error of the caller and is rejected.
	Fingerprint uint64
}

type record struct {
	key        Key
	state      state
	acceptedAt time.Duration // age of the box when the key was accepted
	answer     *Answer
	failure    *outcome.Failure
	done       chan struct{}
	element    *list.Element
}

// Table holds the keys that this box owns, up to a maximum number and age.
type Table struct {
	// Age returns the time since this box started, including times for which the
	// process was suspended.
	Age func() time.Duration
	// MaxRecords and MaxAge are the maximum number and age of records.
	MaxRecords int
	MaxAge     time.Duration

	mu      sync.Mutex
	records map[string]*record
	byAge   *list.List
}

// NewTable makes an empty table.
func NewTable(maxRecords int, maxAge time.Duration, age func() time.Duration) *Table {
	return &Table{
		Age:        age,
		MaxRecords: maxRecords,
		MaxAge:     maxAge,
		records:    map[string]*record{},
		byAge:      list.New(),
	}
}

// Len returns the number of records.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records)
}

// Begin accepts a key. issued is the age of the box when it issued the ticket.
//
// If first is true, the caller must send the request and then call either Complete or
// Fail. Otherwise the key was accepted before, and the caller must call Wait.
func (t *Table) Begin(k Key, issued time.Duration) (execution *Execution, first bool, failure *outcome.Failure) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	name := k.Service + "\x00" + k.Key
	if r, ok := t.records[name]; ok {
		if r.key.Fingerprint != k.Fingerprint {
			return nil, false, DifferentRequest()
		}
		return &Execution{table: t, record: r}, false, nil
	}
	if t.Age()-issued > t.MaxAge {
		return nil, false, outcome.NewUnknown(outcome.ReasonStaleTicket, "the ticket is older than keys are remembered")
	}
	if len(t.records) >= t.MaxRecords {
		return nil, false, outcome.NewNotRun(outcome.ReasonRecordsFull, "").WithRetryAfter(time.Second)
	}
	r := &record{key: k, acceptedAt: t.Age(), done: make(chan struct{})}
	r.element = t.byAge.PushBack(r)
	t.records[name] = r
	return &Execution{table: t, record: r}, true, nil
}

// DifferentRequest returns the failure of a request whose key belongs to a different one.
func DifferentRequest() *outcome.Failure {
	return outcome.NewUnknown(outcome.ReasonBadRequest, "this Idempotency-Key was used for a different request")
}

// expire removes records that are older than any valid ticket that could refer to them.
// Records in flight stay.
func (t *Table) expire() {
	// A ticket is at most MaxAge old when its key is accepted, so from
	// acceptedAt+MaxAge on a retry with the same ticket is rejected because of the ticket's age.
	for e := t.byAge.Front(); e != nil; {
		r := e.Value.(*record)
		if t.Age()-r.acceptedAt <= t.MaxAge {
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
	t.byAge.Remove(r.element)
}

// Execution is the execution of the request of a key, or a retry that waits for it.
type Execution struct {
	table  *Table
	record *record
}

// Complete ends the execution with an answer. nil means that the answer was forwarded to
// the caller but was too large to store.
func (r *Execution) Complete(a *Answer) {
	if a == nil {
		r.finish(notKept, nil, nil)
		return
	}
	r.finish(answered, a, nil)
}

// Fail ends the execution without an answer. If the outcome of the failure is "not run",
// the key may be used again; otherwise it may not.
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

// Wait waits for the end of the first execution of the key, and returns its result.
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
