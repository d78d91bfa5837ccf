// Package packet encodes the messages that boxes send each other, one per datagram. The first
// byte identifies the kind of a message, since all kinds arrive at one port, and changes with
// the fields of the message: they are identified by their position and not by name, since
// names would be most of what is sent.
package packet

import (
	"bytes"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// Codec encodes and decodes messages of one kind.
type Codec[T any] struct {
	// Kind names the messages in errors.
	Kind string
	// FirstByte is the first byte of their datagrams.
	FirstByte byte
}

// Error reports that a datagram is not a message of a kind, or that a message cannot be
// encoded.
type Error struct {
	Kind    string
	Problem string
}

// Error implements error.
func (e *Error) Error() string { return e.Kind + ": " + e.Problem }

// IsMessage reports whether a datagram has the first byte of the kind.
func (c Codec[T]) IsMessage(datagram []byte) bool {
	return len(datagram) > 0 && datagram[0] == c.FirstByte
}

// Encode returns the message as a datagram. The error is an *Error.
func (c Codec[T]) Encode(m *T) ([]byte, error) {
	var b bytes.Buffer
	b.WriteByte(c.FirstByte)
	e := msgpack.NewEncoder(&b)
	e.UseArrayEncodedStructs(true)
	e.UseCompactInts(true)
	if err := e.Encode(m); err != nil {
		return nil, &Error{Kind: c.Kind, Problem: err.Error()}
	}
	return b.Bytes(), nil
}

// Decode returns the message in a datagram. The error is an *Error.
func (c Codec[T]) Decode(datagram []byte) (*T, error) {
	if !c.IsMessage(datagram) {
		return nil, &Error{Kind: c.Kind, Problem: fmt.Sprintf("datagram of %d bytes is of another kind or version", len(datagram))}
	}
	m := new(T)
	if err := msgpack.Unmarshal(datagram[1:], m); err != nil {
		return nil, &Error{Kind: c.Kind, Problem: err.Error()}
	}
	return m, nil
}
