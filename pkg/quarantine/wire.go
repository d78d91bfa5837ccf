package quarantine

import "github.com/stoneworks/stoneworks/pkg/packet"

const (
	// wireVersion is the first byte of a message. Other kinds of messages that arrive at the
	// same port begin with other bytes.
	wireVersion = 0xd1
	// messageBytes bounds a message in bytes, so that it fits into one packet. It is estimated
	// as recordBytes for each record and serverBytes for each server that the record names.
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

// Wire is the codec of messages.
var Wire = packet.Codec[Message]{Kind: "quarantine", FirstByte: wireVersion}

// Messages splits records into messages that fit into one packet each.
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
