package serverstatus

import "github.com/stoneworks/stoneworks/pkg/packet"

const (
	// wireVersion is the first byte of a message. Other kinds of messages that arrive at the
	// same port begin with other bytes.
	wireVersion = 0xc2
	// maxMessageRecords bounds the records of one message, so that it fits into one packet: a
	// record takes about 50 bytes.
	maxMessageRecords = 20
)

// Message is what one box knows of some servers.
type Message struct {
	// Box is the sender's name.
	Box     string
	Records []Record
}

// Wire is the codec of messages.
var Wire = packet.Codec[Message]{Kind: "server statuses", FirstByte: wireVersion}

// Messages splits records into messages that fit into one packet each.
func Messages(box string, records []Record) []Message {
	var messages []Message
	for len(records) > 0 {
		n := min(len(records), maxMessageRecords)
		messages = append(messages, Message{Box: box, Records: records[:n:n]})
		records = records[n:]
	}
	return messages
}
