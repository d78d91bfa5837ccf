// Package objects follows the platform's store: lists, watches, and the handling of failed
// calls. The protocol of the store is hidden behind Client, a set of function fields that an
// adapter fills.
//
// Example: the store discards its history while a watch is interrupted. The follower gets a
// CompactedError for its next watch, lists again, and the Mirror reports only the differences.
package objects

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"time"
)

// Object is one object of the store.
type Object struct {
	Name string `json:"name"`
	// Revision is the store's revision of the object's last change.
	Revision uint64 `json:"revision"`
	// Era is the era of the revision, as the mirror that reports the object knows it; see Extent.
	Era uint64 `json:"-"`
	// Made is when the object was made, as the store writes it. It tells an object from an earlier
	// one of the same name. Only kinds whose objects boxes update keep it; of these, all revisions
	// are reported as changes.
	Made string          `json:"made,omitempty"`
	Spec json.RawMessage `json:"spec"`
	// Status is what others have written about the object; most objects have none.
	Status json.RawMessage `json:"status,omitempty"`
}

// Size returns the length of an object's name and contents in bytes.
func (o *Object) Size() int { return len(o.Name) + len(o.Spec) + len(o.Status) }

// Event is one change of an object.
type Event struct {
	Object  Object `json:"object"`
	Deleted bool   `json:"gone,omitempty"`
}

// Page is a part of a list.
type Page struct {
	Items []Object
	// More is true if the list continues after the name of the last item.
	More bool
	// Revision is the store's revision, and Era the era that it belongs to; see Extent.
	Revision uint64
	Era      uint64
}

// Changes is the answer to a watch.
type Changes struct {
	Events []Event
	// Revision is the revision to continue from, and Era the era that it belongs to.
	Revision uint64
	Era      uint64
}

// ClientOptions are what a client of the store needs.
type ClientOptions struct {
	Address string
	Dial    func(ctx context.Context, address string) (net.Conn, error)
	// MaxAnswer is the longest body of an answer that is read, in bytes.
	MaxAnswer int64
	// OnCall is called with the verb of each call, and OnUnread for each object that cannot be read.
	OnCall   func(verb string)
	OnUnread func(err error)
}

// Client makes calls to the store.
type Client struct {
	// List returns the objects of a kind whose names come after the given one. A stale list is
	// cheaper and may be seconds old; a watch that starts from its revision returns what it
	// lacks.
	List func(ctx context.Context, kind, after string, stale bool) (Page, error)
	// Watch returns the changes since a revision, as soon as there is one or the wait is over.
	Watch func(ctx context.Context, kind string, since uint64, wait time.Duration) (Changes, error)
	// Create writes a new object; an existing one stays as it is. Remove deletes an object if
	// it exists.
	Create func(ctx context.Context, kind, name string, spec any) error
	Remove func(ctx context.Context, kind, name string) error
	// SetStatus sets the status of an object if its last change is still that of the revision;
	// otherwise it returns a *ConflictError.
	SetStatus func(ctx context.Context, kind, name string, revision uint64, status any) error
}

// ================================================================
// Errors
// ================================================================

// CompactedError reports that the store no longer has the history since the requested
// revision.
type CompactedError struct{}

// Error implements error.
func (e *CompactedError) Error() string {
	return "objects: the store no longer has the history since the requested revision"
}

// TooLongError reports an answer that this box does not read, since it is longer than MaxAnswer or does
// not arrive in the time of a call.
type TooLongError struct {
	Kind string
	// Length is that of the body in bytes, or of the part that has arrived. Limit is MaxAnswer.
	Length, Limit int64
}

// Error implements error.
func (e *TooLongError) Error() string {
	return fmt.Sprintf("objects: answer for %s is too long: %d bytes, limit %d", e.Kind, e.Length, e.Limit)
}

// ConflictError reports that an object has been changed or deleted meanwhile.
type ConflictError struct {
	Kind, Name string
}

// Error implements error.
func (e *ConflictError) Error() string {
	return "objects: " + e.Kind + "/" + e.Name + " was changed or deleted meanwhile"
}

// UnavailableError reports that the store did not carry out a call.
type UnavailableError struct {
	// Status is the store's HTTP status, or 0 if there was no answer.
	Status int
	Cause  error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("objects: store unavailable (status %d): %v", e.Status, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// MalformedError reports that the store's answer could not be parsed.
type MalformedError struct{ Cause error }

// Error implements error.
func (e *MalformedError) Error() string { return "objects: malformed answer: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *MalformedError) Unwrap() error { return e.Cause }
