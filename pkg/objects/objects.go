// Package objects follows the platform's store: lists, watches, and what to
// do when these fail. How the store is spoken to is a Client's matter, a set
// of function fields that an adapter fills.
//
// Example: the store forgets its history while a watch is cut. The follower
// hears CompactedError at its next watch, lists anew, and the Mirror tells
// only what differs.
package objects

import (
	"context"
	"encoding/json"
	"fmt"
	"time"
)

// Object is one object of the store.
type Object struct {
	Name string `json:"name"`
	// Revision is the store's, of the object's last change.
	Revision uint64          `json:"revision"`
	Spec     json.RawMessage `json:"spec"`
	// Status is what others have noted of the object, empty for most.
	Status json.RawMessage `json:"status,omitempty"`
}

// Event is one change of an object.
type Event struct {
	Object  Object `json:"object"`
	Deleted bool   `json:"gone,omitempty"`
}

// Page is a part of a list.
type Page struct {
	Items []Object
	// More is true if the list goes on after the last item's name.
	More bool
	// Revision is the store's revision.
	Revision uint64
}

// Client reaches the store.
type Client struct {
	// List returns the objects of a kind with names after the given one. A
	// stale list is cheaper and may be seconds old; a watch that goes on from
	// its revision brings what it lacks.
	List func(ctx context.Context, kind, after string, stale bool) (Page, error)
	// Watch returns what has changed since a revision, as soon as something
	// has or after the wait, and the revision to go on from.
	Watch func(ctx context.Context, kind string, since uint64, wait time.Duration) ([]Event, uint64, error)
	// Create writes a new object; one that is there already stays as it is. Remove deletes
	// one, if it is there.
	Create func(ctx context.Context, kind, name string, spec any) error
	Remove func(ctx context.Context, kind, name string) error
	// SetStatus notes something of an object, if its last change is still that of the revision; the
	// error is else a *ConflictError.
	SetStatus func(ctx context.Context, kind, name string, revision uint64, status any) error
}

// ================================================================
// Errors
// ================================================================

// CompactedError says that the store no longer knows what has changed since.
type CompactedError struct{}

// Error implements error.
func (e *CompactedError) Error() string { return "objects: the history is gone" }

// ConflictError says that an object has changed meanwhile, or is gone.
type ConflictError struct {
	Kind, Name string
}

// Error implements error.
func (e *ConflictError) Error() string { return "objects: " + e.Kind + "/" + e.Name + " has changed" }

// UnavailableError says that the store did not do what it was asked.
type UnavailableError struct {
	// Status is the store's HTTP status, 0 if there was no answer.
	Status int
	Cause  error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("objects: unavailable (status %d): %v", e.Status, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// MalformedError says that the store's answer could not be read.
type MalformedError struct{ Cause error }

// Error implements error.
func (e *MalformedError) Error() string { return "objects: malformed answer: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *MalformedError) Unwrap() error { return e.Cause }
