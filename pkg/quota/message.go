package quota

import (
	"encoding/binary"
	"fmt"
	"math"
)

// wireVersion is the first byte of a message; heartbeats and findings, which come to
// the same port, begin with others. It changes with the layout of messages.
const wireVersion = 0xe1

// maxEntries bounds the entries of one message, so that it fits one packet.
const maxEntries = 48

// Message is what boxes tell each other of limits. One field but From is set.
type Message struct {
	// From is the sender.
	From   uint64
	Report *Report
	Grant  *Grant
	Ask    *LoanRequest
	Loan   *Loan
}

// Report is what a box tells an allocator of its zone. It lends its part with it.
type Report struct {
	// Incarnation tells the lives of a box apart.
	Incarnation int64
	// Echo is the newest Stamp of the allocator that the box has seen, zero for none:
	// what the box lends counts from when that was made, however long the report is
	// on its way.
	Echo Stamp
	// Weight is the box's part of its zone's part, from 0 to 1.
	Weight float64
	// Allocators are those among which the box divides the customers, by their
	// keys: the receiver has the box's part of those customers that are its own
	// among them.
	Allocators []uint64
	Usage      []Usage
}

// Usage is what a box has used of a customer's limit. All are counted since the box
// started, so that a report that is lost or comes twice changes nothing.
type Usage struct {
	ID ID
	// Arrived are the requests that came, Used the tokens that were used up.
	Arrived uint32
	Used    uint32
	// Ceiling is up to which count of Used the box may go.
	Ceiling uint32
	// Returned are the tokens that the box gave back to this allocator; they count as
	// used.
	Returned uint32
	// Want is how many unused tokens the box would like to hold, and Waiting how many
	// requests wait for one.
	Want    uint16
	Waiting uint16
}

// Grant is an allocator's answer: up to where boxes may go.
type Grant struct {
	// Incarnation is that of the box.
	Incarnation int64
	// Stamp is the time of the allocator's clock.
	Stamp    Stamp
	Ceilings []Ceiling
}

// Stamp is a time of an allocator's clock: in milliseconds since the start of one of
// its lives.
type Stamp struct {
	Incarnation int64
	ElapsedMs   uint32
}

// Ceiling is up to which count of used tokens a box may go.
type Ceiling struct {
	ID      ID
	Ceiling uint32
	// Exhausted: there are no more tokens, nor are any expected from other zones.
	Exhausted bool
}

// LoanRequest asks another zone's allocator for tokens, Loan hands them over.
type LoanRequest struct {
	// Number tells the asks of a box apart.
	Number uint32
	Wanted []Tokens
}

// Loan answers an Ask.
type Loan struct {
	Number uint32
	Tokens []Tokens
}

// Tokens are some of a customer's tokens.
type Tokens struct {
	ID    ID
	Count uint16
	// Left is how many more the lender could spare, in tenths of a token.
	Left uint16
}

// WireError says that a datagram is not a message of this version.
type WireError struct {
	Problem string
}

// Error implements error.
func (e *WireError) Error() string { return "quota: " + e.Problem }

// kind is the second byte of a message.
type kind byte

const (
	kindReport kind = iota + 1
	kindGrant
	kindLoanRequest
	kindLoan
)

// IsMessage reports whether a datagram claims to be a message.
func IsMessage(datagram []byte) bool { return len(datagram) > 0 && datagram[0] == wireVersion }

// Encode returns the message as a datagram.
func Encode(m *Message) []byte {
	w := &writer{}
	w.u8(wireVersion)
	switch {
	case m.Report != nil:
		w.u8(byte(kindReport))
		w.u64(m.From)
		w.report(m.Report)
	case m.Grant != nil:
		w.u8(byte(kindGrant))
		w.u64(m.From)
		w.grant(m.Grant)
	case m.Ask != nil:
		w.u8(byte(kindLoanRequest))
		w.u64(m.From)
		w.u32(m.Ask.Number)
		w.tokens(m.Ask.Wanted)
	case m.Loan != nil:
		w.u8(byte(kindLoan))
		w.u64(m.From)
		w.u32(m.Loan.Number)
		w.tokens(m.Loan.Tokens)
	}
	return w.b
}

// Decode reads a datagram. The error is a *WireError.
func Decode(datagram []byte) (*Message, error) {
	r := &reader{b: datagram}
	if v := r.u8(); v != wireVersion {
		return nil, &WireError{Problem: fmt.Sprintf("version %d", v)}
	}
	k := kind(r.u8())
	m := &Message{From: r.u64()}
	switch k {
	case kindReport:
		m.Report = r.report()
	case kindGrant:
		m.Grant = r.grant()
	case kindLoanRequest:
		m.Ask = &LoanRequest{Number: r.u32(), Wanted: r.tokens()}
	case kindLoan:
		m.Loan = &Loan{Number: r.u32(), Tokens: r.tokens()}
	default:
		return nil, &WireError{Problem: fmt.Sprintf("kind %d", k)}
	}
	if r.invalid || len(r.b) > 0 {
		return nil, &WireError{Problem: fmt.Sprintf("%d bytes do not make a message", len(datagram))}
	}
	return m, nil
}

// ----------------------------------------------------------------
// Writing
// ----------------------------------------------------------------

// writer appends numbers, the highest byte first.
type writer struct{ b []byte }

func (w *writer) u8(v byte)    { w.b = append(w.b, v) }
func (w *writer) u16(v uint16) { w.b = binary.BigEndian.AppendUint16(w.b, v) }
func (w *writer) u32(v uint32) { w.b = binary.BigEndian.AppendUint32(w.b, v) }
func (w *writer) u64(v uint64) { w.b = binary.BigEndian.AppendUint64(w.b, v) }

func (w *writer) report(m *Report) {
	w.u64(uint64(m.Incarnation))
	w.stamp(m.Echo)
	w.u64(math.Float64bits(m.Weight))
	w.u8(byte(len(m.Allocators)))
	for _, a := range m.Allocators {
		w.u64(a)
	}
	w.u8(byte(len(m.Usage)))
	for _, u := range m.Usage {
		w.u64(uint64(u.ID))
		w.u32(u.Arrived)
		w.u32(u.Used)
		w.u32(u.Ceiling)
		w.u32(u.Returned)
		w.u16(u.Want)
		w.u16(u.Waiting)
	}
}

func (w *writer) stamp(s Stamp) {
	w.u64(uint64(s.Incarnation))
	w.u32(s.ElapsedMs)
}

func (w *writer) grant(m *Grant) {
	w.u64(uint64(m.Incarnation))
	w.stamp(m.Stamp)
	w.u8(byte(len(m.Ceilings)))
	for _, c := range m.Ceilings {
		w.u64(uint64(c.ID))
		w.u32(c.Ceiling)
		dry := byte(0)
		if c.Exhausted {
			dry = 1
		}
		w.u8(dry)
	}
}

func (w *writer) tokens(list []Tokens) {
	w.u8(byte(len(list)))
	for _, t := range list {
		w.u64(uint64(t.ID))
		w.u16(t.Count)
		w.u16(t.Left)
	}
}

// ----------------------------------------------------------------
// Reading
// ----------------------------------------------------------------

// reader takes numbers from a datagram; short is set when it ends too early.
type reader struct {
	b       []byte
	invalid bool
}

// number returns the number in the next bytes.
func (r *reader) number(size int) uint64 {
	if len(r.b) < size {
		r.invalid, r.b = true, nil
		return 0
	}
	v := uint64(0)
	for _, b := range r.b[:size] {
		v = v<<8 | uint64(b)
	}
	r.b = r.b[size:]
	return v
}

func (r *reader) u8() byte    { return byte(r.number(1)) }
func (r *reader) u16() uint16 { return uint16(r.number(2)) }
func (r *reader) u32() uint32 { return uint32(r.number(4)) }
func (r *reader) u64() uint64 { return r.number(8) }

func (r *reader) report() *Report {
	m := &Report{Incarnation: int64(r.u64()), Echo: r.stamp(), Weight: math.Float64frombits(r.u64())}
	if !(m.Weight >= 0 && m.Weight <= 1) {
		r.invalid = true
	}
	for count := int(r.u8()); len(m.Allocators) < count && !r.invalid; {
		m.Allocators = append(m.Allocators, r.u64())
	}
	for count := int(r.u8()); len(m.Usage) < count && !r.invalid; {
		m.Usage = append(m.Usage, Usage{ID: ID(r.u64()), Arrived: r.u32(), Used: r.u32(), Ceiling: r.u32(), Returned: r.u32(), Want: r.u16(), Waiting: r.u16()})
	}
	return m
}

func (r *reader) stamp() Stamp { return Stamp{Incarnation: int64(r.u64()), ElapsedMs: r.u32()} }

func (r *reader) grant() *Grant {
	m := &Grant{Incarnation: int64(r.u64()), Stamp: r.stamp()}
	for count := int(r.u8()); len(m.Ceilings) < count && !r.invalid; {
		m.Ceilings = append(m.Ceilings, Ceiling{ID: ID(r.u64()), Ceiling: r.u32(), Exhausted: r.u8() != 0})
	}
	return m
}

func (r *reader) tokens() []Tokens {
	var list []Tokens
	for count := int(r.u8()); len(list) < count && !r.invalid; {
		list = append(list, Tokens{ID: ID(r.u64()), Count: r.u16(), Left: r.u16()})
	}
	return list
}
