package idempotency

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/stoneworks/stoneworks/pkg/model"
)

// MaxKeyLength is the maximum length of an idempotency key in bytes.
const MaxKeyLength = 200

// Ticket names the owner of keys: an incarnation of a box, and its age when it issued
// the ticket. A caller makes an idempotency key from the ticket, a slash and an id of its
// own, so the key itself names its owner and a retry cannot name another one:
//
//	dakar-a-1/5f0c9e21/83120/score-771
type Ticket struct {
	Box         string
	Incarnation string
	Issued      time.Duration
}

// KeyError reports that an idempotency key is malformed.
type KeyError struct {
	Problem string
}

// Error implements error.
func (e *KeyError) Error() string {
	return "Idempotency-Key: " + e.Problem
}

// String returns the ticket in the form that keys start with.
func (t Ticket) String() string {
	return fmt.Sprintf("%s/%s/%d", t.Box, t.Incarnation, t.Issued.Milliseconds())
}

// ParseKey parses an idempotency key. hasTicket is false for a key that does not start
// with a ticket. An error is a *KeyError.
func ParseKey(key string) (ticket Ticket, hasTicket bool, err error) {
	if key == "" || len(key) > MaxKeyLength {
		return Ticket{}, false, &KeyError{Problem: fmt.Sprintf("%d bytes long, allowed are 1 to %d", len(key), MaxKeyLength)}
	}
	for i := range len(key) {
		if key[i] <= ' ' || key[i] > '~' {
			return Ticket{}, false, &KeyError{Problem: "has a character that is not printable ASCII"}
		}
	}
	parts := strings.SplitN(key, "/", 4)
	if len(parts) != 4 || parts[3] == "" || !model.ValidName(parts[0]) || !model.ValidName(parts[1]) {
		return Ticket{}, false, nil
	}
	ms, err := strconv.ParseInt(parts[2], 10, 64)
	if err != nil || ms < 0 || ms > 1<<50 {
		return Ticket{}, false, nil
	}
	return Ticket{Box: parts[0], Incarnation: parts[1], Issued: time.Duration(ms) * time.Millisecond}, true, nil
}
