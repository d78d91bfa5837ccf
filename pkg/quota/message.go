package quota

import (
	"encoding/binary"
	"fmt"
	"math"
)

// wireVersion is the first byte of a message; heartbeats and failure reports, which come to
// the same port, begin with other bytes. It changes with the layout of messages.
const wireVersion = 0xe1

// maxEntries bounds the entries of one message, so that it fits into one packet.
const maxEntries = 48

// Message is a message between boxes about limits. One field besides From is set.
type Message struct {
	// From is the key of the sender.
	From        uint64
	Report      *Report
	Grant       *Grant
	LoanRequest *LoanRequest
	Loan        *Loan
}

// Report is what a box sends to an allocator of its zone. It also leases the box's share.
type Report struct {
	// Incarnation identifies the incarnation of the box.
	Incarnation int64
	// Echo is the newest Stamp of the allocator that the box has seen, zero for none. The
	// lease starts at the time of the stamp, however long the report is in transit.
	Echo Stamp
	// Weight is the part of its zone's share that the box has, from 0 to 1.
	Weight float64
	// Allocators are the keys of the allocators among which the box divides the customers: the
	// receiver gets the box's share for the customers that it owns among them.
	Allocators []uint64
	Usage      []Usage
}

// Usage is a box's use of a customer's limit. The counts are cumulative since the box started,
// so that a lost or duplicated report changes nothing.
type Usage struct {
	ID ID
	// Arrived is the number of requests that arrived, Used the number of tokens that were
	// used.
	Arrived uint32
	Used    uint32
	// Ceiling is the count up to which Used may rise.
	Ceiling uint32
	// Returned is the number of tokens that the box has returned to this allocator; they count
	// as used.
	Returned uint32
	// Want is how many unused tokens the box wants to hold, and Waiting how many requests wait
	// for one.
	Want    uint16
	Waiting uint16
}

// Grant is an allocator's answer: the ceilings of a box.
type Grant struct {
	// Incarnation is the incarnation of the box.
	Incarnation int64
	// Stamp is the time of the allocator's clock.
	Stamp    Stamp
	Ceilings []Ceiling
}

// Stamp is a time of an allocator's clock, in milliseconds since the start of one of its
// incarnations.
type Stamp struct {
	Incarnation int64
	ElapsedMs   uint32
}

// Ceiling is the count up to which a box's used tokens may rise.
type Ceiling struct {
	ID      ID
	Ceiling uint32
	// Exhausted is set when there are no more tokens, and none are expected from other zones.
	Exhausted bool
}

// LoanRequest asks another zone's allocator for tokens.
type LoanRequest struct {
	// Number distinguishes the requests of a box.
	Number uint32
	Wanted []Tokens
}

// Loan hands over the tokens that answer a LoanRequest.
type Loan struct {
	Number uint32
	Tokens []Tokens
}

// Tokens is a number of a customer's tokens.
type Tokens struct {
	ID    ID
	Count uint16
	// Left is how many more the lender could spare, in tenths of a token.
	Left uint16
}

// WireError reports that a datagram is not a message of this version, or that a message does not
// fit into one.
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

// Encode returns the message as a datagram. The error is a *WireError: a list is too long.
func Encode(m *Message) ([]byte, error) {
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
	case m.LoanRequest != nil:
		w.u8(byte(kindLoanRequest))
		w.u64(m.From)
		w.u32(m.LoanRequest.Number)
		w.tokens(m.LoanRequest.Wanted)
	case m.Loan != nil:
		w.u8(byte(kindLoan))
		w.u64(m.From)
		w.u32(m.Loan.Number)
		w.tokens(m.Loan.Tokens)
	}
	if w.problem != "" {
		return nil, &WireError{Problem: w.problem}
	}
	return w.b, nil
}

// Decode decodes a datagram. The error is a *WireError.
func Decode(datagram []byte) (*Message, error) {
	r := &reader{b: datagram}
	if v := r.u8(); v != wireVersion {
		return nil, &WireError{Problem: fmt.Sprintf("unknown message version %d", v)}
	}
	k := kind(r.u8())
	m := &Message{From: r.u64()}
	switch k {
	case kindReport:
		m.Report = r.report()
	case kindGrant:
		m.Grant = r.grant()
	case kindLoanRequest:
		m.LoanRequest = &LoanRequest{Number: r.u32(), Wanted: r.tokens()}
	case kindLoan:
		m.Loan = &Loan{Number: r.u32(), Tokens: r.tokens()}
	default:
		return nil, &WireError{Problem: fmt.Sprintf("unknown message kind %d", k)}
	}
	if r.invalid || len(r.b) > 0 {
		return nil, &WireError{Problem: fmt.Sprintf("malformed message of %d bytes", len(datagram))}
	}
	return m, nil
}

// ----------------------------------------------------------------
// Encoding
// ----------------------------------------------------------------

// writer appends numbers in big-endian order. problem says why the message cannot be encoded.
type writer struct {
	b       []byte
	problem string
}

// length appends the length of a list.
func (w *writer) length(list string, n int) {
	if n > math.MaxUint8 {
		w.problem = fmt.Sprintf("%d %s do not fit into one message", n, list)
	}
	w.u8(byte(n))
}

func (w *writer) u8(v byte)    { w.b = append(w.b, v) }
func (w *writer) u16(v uint16) { w.b = binary.BigEndian.AppendUint16(w.b, v) }
func (w *writer) u32(v uint32) { w.b = binary.BigEndian.AppendUint32(w.b, v) }
func (w *writer) u64(v uint64) { w.b = binary.BigEndian.AppendUint64(w.b, v) }

func (w *writer) report(m *Report) {
	w.u64(uint64(m.Incarnation))
	w.stamp(m.Echo)
	w.u64(math.Float64bits(m.Weight))
	w.length("allocators", len(m.Allocators))
	for _, a := range m.Allocators {
		w.u64(a)
	}
	w.length("usages", len(m.Usage))
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
	w.length("ceilings", len(m.Ceilings))
	for _, c := range m.Ceilings {
		w.u64(uint64(c.ID))
		w.u32(c.Ceiling)
		exhausted := byte(0)
		if c.Exhausted {
			exhausted = 1
		}
		w.u8(exhausted)
	}
}

func (w *writer) tokens(list []Tokens) {
	w.length("token counts", len(list))
	for _, t := range list {
		w.u64(uint64(t.ID))
		w.u16(t.Count)
		w.u16(t.Left)
	}
}

// ----------------------------------------------------------------
// Decoding
// ----------------------------------------------------------------

// reader reads numbers from a datagram; invalid is set when it ends too early or a value is
// out of range.
type reader struct {
	b       []byte
	invalid bool
}

// number reads a number of the given size in bytes.
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
