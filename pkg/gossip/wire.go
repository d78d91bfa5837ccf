package gossip

import (
	"bytes"
	"encoding/binary"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// wireVersion is the first byte of a heartbeat. It changes with the fields of
// Message, since those are told by their place and not by name: heartbeats
// are most of what boxes say to each other, and names would be most of them.
const wireVersion = 5

// sightingSize is the size of a sighting on the wire, in bytes.
const sightingSize = 9

// Message is one heartbeat.
type Message struct {
	From Record `json:"from"`
	// Others are whole records, for a box that does not know them.
	Others []Record `json:"others,omitempty"`
	// Seen is what the sender heard of other boxes.
	Seen Sightings `json:"seen,omitempty"`
	// Ask names sightings whose records the sender lacks.
	Ask []uint32 `json:"ask,omitempty"`
	// Probe: the sender has not heard the receiver for a while and asks for an
	// answer at once.
	Probe bool `json:"probe,omitempty"`
}

// Sightings are packed on the wire.
type Sightings []Sighting

// EncodeMsgpack implements msgpack.CustomEncoder.
func (s Sightings) EncodeMsgpack(e *msgpack.Encoder) error {
	packed := make([]byte, 0, len(s)*sightingSize)
	for _, one := range s {
		packed = binary.BigEndian.AppendUint32(packed, one.ID)
		packed = binary.BigEndian.AppendUint32(packed, one.Beat)
		packed = append(packed, byte(one.Flags))
	}
	return e.EncodeBytes(packed)
}

// DecodeMsgpack implements msgpack.CustomDecoder. The error is a *WireError or
// the library's.
func (s *Sightings) DecodeMsgpack(d *msgpack.Decoder) error {
	packed, err := d.DecodeBytes()
	if err != nil {
		return err
	}
	if len(packed)%sightingSize != 0 {
		return &WireError{Problem: fmt.Sprintf("sightings of %d bytes", len(packed))}
	}
	*s = nil
	for ; len(packed) > 0; packed = packed[sightingSize:] {
		*s = append(*s, Sighting{
			ID: binary.BigEndian.Uint32(packed), Beat: binary.BigEndian.Uint32(packed[4:]), Flags: Flags(packed[8]),
		})
	}
	return nil
}

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
