package gossip

import (
	"bytes"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// wireVersion is the first byte of a heartbeat. It changes with the fields of
// Message, since those are told by their place and not by name: heartbeats
// are most of what boxes say to each other, and names would be most of them.
const wireVersion = 1

// WireError says that a datagram is not a heartbeat of this version.
type WireError struct {
	Problem string
}

// Error implements error.
func (e *WireError) Error() string { return "heartbeat: " + e.Problem }

// Encode returns the message as a datagram. The error is a *WireError.
func Encode(m *Message) ([]byte, error) {
	var b bytes.Buffer
	b.WriteByte(wireVersion)
	e := msgpack.NewEncoder(&b)
	e.UseArrayEncodedStructs(true)
	e.UseCompactInts(true)
	if err := e.Encode(m); err != nil {
		return nil, &WireError{Problem: err.Error()}
	}
	return b.Bytes(), nil
}

// Decode reads a datagram. The error is a *WireError.
func Decode(datagram []byte) (*Message, error) {
	if len(datagram) == 0 {
		return nil, &WireError{Problem: "empty"}
	}
	if datagram[0] != wireVersion {
		return nil, &WireError{Problem: fmt.Sprintf("version %d", datagram[0])}
	}
	m := &Message{}
	if err := msgpack.Unmarshal(datagram[1:], m); err != nil {
		return nil, &WireError{Problem: err.Error()}
	}
	return m, nil
}
