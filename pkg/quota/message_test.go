package quota

import (
	"errors"
	"testing"

	"github.com/matryer/is"
)

// messages contains one message of each kind.
var messages = []Message{
	{From: 7, Report: &Report{
		Incarnation: -5, Echo: Stamp{Incarnation: 9, ElapsedMs: 1000}, Weight: 0.25, Allocators: []uint64{1, 2},
		Usage: []Usage{{ID: 3, Arrived: 10, Used: 8, Ceiling: 9, Want: 2, Waiting: 1}, {ID: 4}},
	}},
	{From: 7, Grant: &Grant{Incarnation: 5, Stamp: Stamp{Incarnation: 1 << 60, ElapsedMs: 17}, Ceilings: []Ceiling{{ID: 3, Ceiling: 12, Exhausted: true}, {ID: 1<<64 - 1, Ceiling: 1<<32 - 1}}}},
	{From: 7, LoanRequest: &LoanRequest{Number: 4, Wanted: []Tokens{{ID: 3, Count: 6}}}},
	{From: 7, Loan: &Loan{Number: 4, Tokens: []Tokens{{ID: 3, Count: 6, Left: 65535}}}},
}

// encoded returns the message as a datagram.
func encoded(t testing.TB, m *Message) []byte {
	t.Helper()
	datagram, err := Encode(m)
	if err != nil {
		t.Fatal(err)
	}
	return datagram
}

// TestListsThatDoNotFitAreTypedErrors checks that a list whose length does not fit into its field
// is not sent with a wrong length.
func TestListsThatDoNotFitAreTypedErrors(t *testing.T) {
	const most = 255
	for _, list := range []func(n int) *Message{
		func(n int) *Message { return &Message{Report: &Report{Allocators: make([]uint64, n)}} },
		func(n int) *Message { return &Message{Report: &Report{Usage: make([]Usage, n)}} },
		func(n int) *Message { return &Message{Grant: &Grant{Ceilings: make([]Ceiling, n)}} },
		func(n int) *Message { return &Message{LoanRequest: &LoanRequest{Wanted: make([]Tokens, n)}} },
		func(n int) *Message { return &Message{Loan: &Loan{Tokens: make([]Tokens, n)}} },
	} {
		is := is.New(t)
		_, err := Decode(encoded(t, list(most)))
		is.NoErr(err)
		_, err = Encode(list(most + 1))
		var tooLong *WireError
		is.True(errors.As(err, &tooLong))
	}
}

func TestMessagesRoundTrip(t *testing.T) {
	is := is.New(t)
	for i := range messages {
		got, err := Decode(encoded(t, &messages[i]))
		is.NoErr(err)
		is.Equal(got, &messages[i])
	}
}

func TestBrokenMessagesAreTypedErrors(t *testing.T) {
	is := is.New(t)
	for i := range messages {
		whole := encoded(t, &messages[i])
		for cut := range len(whole) {
			_, err := Decode(whole[:cut])
			var broken *WireError
			is.True(errors.As(err, &broken))
		}
		_, err := Decode(append(whole, 0))
		is.True(err != nil)
	}
	_, err := Decode([]byte{wireVersion, 99, 0, 0, 0, 0, 0, 0, 0, 0})
	is.True(err != nil)
}

// FuzzDecode checks that every datagram is decoded or rejected, that a decoded message is
// encoded as it was, and that a box handles it without a problem.
func FuzzDecode(f *testing.F) {
	for i := range messages {
		f.Add(encoded(f, &messages[i]))
	}
	f.Add([]byte{})
	f.Add([]byte{wireVersion, 1})
	f.Fuzz(func(t *testing.T, datagram []byte) {
		m, err := Decode(datagram)
		if err != nil {
			return
		}
		if got := encoded(t, m); string(got) != string(datagram) && m.Grant == nil {
			t.Fatalf("%x was decoded and encoded as %x", datagram, got)
		}
		w := newZoneModel(false)
		w.boxes[0].Receive(m, "9")
		if w.problem() != "" {
			t.Fatal(w.problem())
		}
	})
}
