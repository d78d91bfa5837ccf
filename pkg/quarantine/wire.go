package quarantine

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	// wireVersion is the first byte of a message; what else comes to the same port begins
	// with others.
	wireVersion = 0xd1
	// messageBytes bounds a message, so that it fits one packet: recordBytes for each
	// record and serverBytes for each server that it names, in bytes.
	messageBytes = 1200
	recordBytes  = 24
	serverBytes  = 30
)

// Message is what one box knows of some requests.
type Message struct {
	// Box is the sender's name.
	Box     string
	Records []Record
}

// WireError says that a datagram is not a message of this version.
type WireError struct {
	Problem string
}

// Error implements error.
func (e *WireError) Error() string { return "quarantine: " + e.Problem }

// Is reports whether a datagram claims to be a message.
func Is(datagram []byte) bool { return len(datagram) > 0 && datagram[0] == wireVersion }

// Encode returns the message as a datagram. The error is a *WireError.
func Encode(m *Message) ([]byte, error) {
	body, err := msgpack.Marshal(m)
	if err != nil {
		return nil, &WireError{Problem: err.Error()}
	}
	return append([]byte{wireVersion}, body...), nil
}

// Decode reads a datagram. The error is a *WireError.
func Decode(datagram []byte) (*Message, error) {
	if !Is(datagram) {
		return nil, &WireError{Problem: fmt.Sprintf("%d bytes of another kind", len(datagram))}
	}
	m := &Message{}
	if err := msgpack.Unmarshal(datagram[1:], m); err != nil {
		return nil, &WireError{Problem: err.Error()}
	}
	return m, nil
}

// Messages divides records into messages that fit a packet each.
func Messages(box string, records []Record) []Message {
	var messages []Message
	bytes := messageBytes
	for i := range records {
		size := recordBytes + serverBytes*(len(records[i].Crashed)+len(records[i].Excused))
		if bytes+size > messageBytes {
			messages = append(messages, Message{Box: box})
			bytes = 0
		}
		last := &messages[len(messages)-1]
		last.Records = append(last.Records, records[i])
		bytes += size
	}
	return messages
}
