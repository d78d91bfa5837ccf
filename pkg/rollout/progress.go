package rollout

import (
	"math"
	"time"

	"github.com/stoneworks/stoneworks/pkg/packet"
)

// Progress is how far an order has come. Of two states the one that is further wins in each
// field, so that boxes that hear of them in any order, or several times, agree in the end.
type Progress struct {
	// Step is the index of the version's current share.
	Step int
	// Ran is how long the order has been running.
	Ran time.Duration
	// Proven is true once the version has been shown to be good.
	Proven bool
	// Bad is true once a box has found the version to be bad.
	Bad bool
	// Final is the final state in the store, or empty.
	Final State
}

// Join takes over what is further in the other state, and reports whether there was any apart
// from the time.
func (p *Progress) Join(o Progress) (news bool) {
	p.Ran = max(p.Ran, o.Ran)
	if o.Step > p.Step {
		p.Step, news = o.Step, true
	}
	if o.Proven && !p.Proven {
		p.Proven, news = true, true
	}
	if o.Bad && !p.Bad {
		p.Bad, news = true, true
	}
	if o.Final != "" && p.Final == "" {
		p.Final, news = o.Final, true
	}
	return news
}

// Told is the progress of one order as boxes tell each other.
type Told struct {
	Service string
	// Given identifies the order; see Order.
	Given uint64
	Step  int
	RanMS int64
	// KnowsTime is true if the teller has known the order since it was given, or was told by such a
	// box.
	KnowsTime bool
	Bad       bool
	Final     State
	Proven    bool
}

// Message tells the progress of all orders that a box knows.
type Message struct {
	Orders []Told
}

// ProgressWire encodes and decodes messages.
var ProgressWire = packet.Codec[Message]{Kind: "rollout progress", FirstByte: 0xa1}

// Progress returns the message for other boxes.
func (t *Table) Progress() Message {
	t.mu.Lock()
	defer t.mu.Unlock()
	var m Message
	for service, a := range t.orders {
		m.Orders = append(m.Orders, Told{
			Service: service, Given: a.Given, Step: a.progress.Step, RanMS: a.ran(t.Now()).Milliseconds(), KnowsTime: a.knowsTime,
			Bad: a.progress.Bad, Final: a.progress.Final, Proven: a.progress.Proven,
		})
	}
	return m
}

// Receive takes over what another box tells, and reports whether there was anything new apart
// from the time.
func (t *Table) Receive(m *Message) (news bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, told := range m.Orders {
		a := t.orders[told.Service]
		if a == nil || a.Given != told.Given || !told.isValid() {
			continue
		}
		a.knowsTime = a.knowsTime || told.KnowsTime
		p := Progress{Step: told.Step, Ran: time.Duration(told.RanMS) * time.Millisecond, Proven: told.Proven, Bad: told.Bad, Final: told.Final}
		news = a.join(p, t.Now()) || news
	}
	return news
}

// MaxRanMS bounds the time for which an order has been running in messages and in the store, in
// milliseconds.
const MaxRanMS = int64(math.MaxInt64 / 2 / time.Millisecond)

func (d *Told) isValid() bool {
	isFinal := d.Final == "" || d.Final == Complete || d.Final == RolledBack
	return isFinal && d.Step >= 0 && d.Step <= lastStep && d.RanMS >= 0 && d.RanMS <= MaxRanMS
}
