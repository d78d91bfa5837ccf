package idempotency

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/stoneworks/stoneworks/pkg/model"
)

// MaxKeyLength bounds an idempotency key, in bytes.
const MaxKeyLength = 200

// Ticket names the owner of keys: one life of one box, and the age of that
// life when the ticket was given. A caller puts it in front of an id of its
// own to make an idempotency key, so the key itself names its owner and a
// repeat cannot name another:
//
//	dakar-a-1/5f0c9e21/83120/score-771
type Ticket struct {
	Box         string
	Incarnation string
	Issued      time.Duration
}

// KeyError says that an idempotency key cannot be taken.
type KeyError struct {
	Problem string
}

// Error implements error.
func (e *KeyError) Error() string {
	return "Idempotency-Key: " + e.Problem
}

// String writes the ticket as callers carry it.
func (t Ticket) String() string {
	return fmt.Sprintf("%s/%s/%d", t.Box, t.Incarnation, t.Issued.Milliseconds())
}

// ParseKey reads an idempotency key. hasTicket is false for a key that the
// caller made up by itself; the error is a *KeyError.
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
