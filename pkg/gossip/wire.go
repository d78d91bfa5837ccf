package gossip

import (
	"encoding/binary"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/stoneworks/stoneworks/pkg/packet"
)

// wireVersion is the first byte of a heartbeat. It changes with the fields of Message.
const wireVersion = 7

// livenessRecordSize is the encoded size of a liveness record, in bytes.
const livenessRecordSize = 9

// Message is one heartbeat, or an answer to one.
type Message struct {
	From Record `json:"from"`
	// Others are whole records, for a box that lacks them.
	Others []Record `json:"others,omitempty"`
	// Liveness is what the sender has heard of other boxes.
	Liveness LivenessRecords `json:"seen,omitempty"`
	// Ask lists the IDs of liveness records whose full records the sender lacks.
	Ask []uint32 `json:"ask,omitempty"`
	// Probe: the sender has not heard of the receiver for a while and requests an immediate
	// answer.
	Probe bool `json:"probe,omitempty"`
}

// LivenessRecords is a list that is encoded as a byte string, with livenessRecordSize bytes
// for each record.
type LivenessRecords []LivenessRecord

// EncodeMsgpack implements msgpack.CustomEncoder.
func (s LivenessRecords) EncodeMsgpack(e *msgpack.Encoder) error {
	packed := make([]byte, 0, len(s)*livenessRecordSize)
	for _, one := range s {
		packed = binary.BigEndian.AppendUint32(packed, one.ID)
		packed = binary.BigEndian.AppendUint32(packed, one.Sequence)
		packed = append(packed, byte(one.Flags))
	}
	return e.EncodeBytes(packed)
}

// DecodeMsgpack implements msgpack.CustomDecoder. The error is a *packet.Error or the msgpack
// library's.
func (s *LivenessRecords) DecodeMsgpack(d *msgpack.Decoder) error {
	packed, err := d.DecodeBytes()
	if err != nil {
		return err
	}
	if len(packed)%livenessRecordSize != 0 {
		return &packet.Error{Kind: Wire.Kind, Problem: fmt.Sprintf("liveness records take %d bytes, which is not a multiple of their size", len(packed))}
	}
	*s = nil
	for ; len(packed) > 0; packed = packed[livenessRecordSize:] {
		*s = append(*s, LivenessRecord{
			ID: binary.BigEndian.Uint32(packed), Sequence: binary.BigEndian.Uint32(packed[4:]), Flags: Flags(packed[8]),
		})
	}
	return nil
}

// Wire encodes and decodes heartbeats.
var Wire = packet.Codec[Message]{Kind: "heartbeat", FirstByte: wireVersion}
