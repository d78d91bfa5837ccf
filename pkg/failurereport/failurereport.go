// Package failurereport lets boxes report to each other backend servers that are gone before
// the platform's list says so: each report saves other boxes a request that waits for a
// connection in vain, or that reaches another server. Package backend decides what a box does
// with a report.
//
// Example: a third of a service's servers lose power, and their addresses are assigned to
// another service. Without reports, each of 27 boxes would discover each of these servers by a
// client's request; with reports only the first one or two do.
//
// This package does no input or output: messages are passed in and returned.
package failurereport

import (
	"sync"
	"time"

	"github.com/stoneworks/stoneworks/pkg/backend"
	"github.com/stoneworks/stoneworks/pkg/packet"
)

const (
	// wireVersion is the first byte of a message; heartbeats, which arrive at the same port,
	// begin with other bytes.
	wireVersion = 0xf2
	// maxReports bounds the reports of one message, so that it fits into one packet.
	maxReports = 48
	// resendAfter is the time after which the same report on a server is sent again.
	resendAfter = 2 * time.Second
)

// Message carries the reports of one box since its last message.
type Message struct {
	// Box is the sender's name.
	Box     string
	Reports []backend.FailureReport
}

// Wire encodes and decodes messages.
var Wire = packet.Codec[Message]{Kind: "failure report", FirstByte: wireVersion}

// Outbox collects this box's reports until they are sent.
type Outbox struct {
	// Box is this box's name.
	Box string
	// Now is the clock; it must be monotonic.
	Now func() time.Time

	mu      sync.Mutex
	pending []backend.FailureReport
	sent    map[backend.FailureReport]time.Time
}

// Add queues a report, unless the same one was queued within resendAfter.
func (o *Outbox) Add(f backend.FailureReport) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.Now()
	if o.sent == nil {
		o.sent = map[backend.FailureReport]time.Time{}
	}
	if at, ok := o.sent[f]; ok && now.Sub(at) < resendAfter {
		return
	}
	o.sent[f] = now
	o.pending = append(o.pending, f)
}

// Take returns the messages to be sent now, and forgets reports older than resendAfter.
func (o *Outbox) Take() []Message {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.Now()
	for f, at := range o.sent {
		if now.Sub(at) >= resendAfter {
			delete(o.sent, f)
		}
	}
	var messages []Message
	for len(o.pending) > 0 {
		n := min(len(o.pending), maxReports)
		messages = append(messages, Message{Box: o.Box, Reports: o.pending[:n:n]})
		o.pending = o.pending[n:]
	}
	o.pending = nil
	return messages
}
