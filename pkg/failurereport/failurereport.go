// Package findings lets boxes tell each other of backend servers that are gone
// before the platform's list says so: each finding saves the other boxes a
// request that waits for a connection in vain, or meets another server. What a
// box makes of a finding is package backend's matter.
//
// Example: a third of a service's servers lose power, and their addresses go to
// another service. 27 boxes would each find each of them by a request of a
// client; with findings the first one or two do.
//
// This package has no input or output: messages are handed in and out.
package failurereport

import (
	"sync"
	"time"

	"github.com/stoneworks/stoneworks/pkg/backend"
	"github.com/stoneworks/stoneworks/pkg/packet"
)

const (
	// wireVersion is the first byte of a message; heartbeats, which come to the
	// same port, begin with others.
	wireVersion = 0xf2
	// together bounds the findings of one message, so that it fits one packet.
	together = 48
	// again is after what time the same is told of a server again.
	again = 2 * time.Second
)

// Message is what one box found since its last message.
type Message struct {
	// Box is the sender's name.
	Box     string
	Reports []backend.FailureReport
}

// Wire packs messages.
var Wire = packet.Codec[Message]{Kind: "findings", FirstByte: wireVersion}

// Outbox gathers what this box finds until it is sent.
type Outbox struct {
	// Box is this box's name.
	Box string
	// Now is the clock; it must be monotonic.
	Now func() time.Time

	mu      sync.Mutex
	waiting []backend.FailureReport
	told    map[backend.FailureReport]time.Time
}

// Add takes in a finding; one that was told a moment ago is left out.
func (o *Outbox) Add(f backend.FailureReport) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.Now()
	if o.told == nil {
		o.told = map[backend.FailureReport]time.Time{}
	}
	if at, ok := o.told[f]; ok && now.Sub(at) < again {
		return
	}
	o.told[f] = now
	o.waiting = append(o.waiting, f)
}

// Take returns what is to be sent now, and forgets what was told long ago.
func (o *Outbox) Take() []Message {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.Now()
	for f, at := range o.told {
		if now.Sub(at) >= again {
			delete(o.told, f)
		}
	}
	var messages []Message
	for len(o.waiting) > 0 {
		n := min(len(o.waiting), together)
		messages = append(messages, Message{Box: o.Box, Reports: o.waiting[:n:n]})
		o.waiting = o.waiting[n:]
	}
	o.waiting = nil
	return messages
}
