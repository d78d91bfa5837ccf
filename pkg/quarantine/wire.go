package quarantine

import "github.com/stoneworks/stoneworks/pkg/packet"

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

// Wire packs messages.
var Wire = packet.Codec[Message]{Kind: "quarantine", FirstByte: wireVersion}

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
