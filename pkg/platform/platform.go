// Package platform is the client of the platform's object API: versioned
// objects with conditional update, a list with a watch, and a lagging list of
// boxes. Client is a set of function fields, so that a test can put any
// behaviour in the place of the network.
package platform

import (
	"context"
	"encoding/json"
	"fmt"
)

// Object is one object as the platform stores it.
type Object struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Version is the platform's; in Put it is the version that must be
	// current, 0 to create.
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// Page is a list or what a watch returned.
type Page struct {
	// Version is where the next watch goes on.
	Version uint64   `json:"version"`
	Objects []Object `json:"objects"`
}

// Box is one row of the platform's lagging list of boxes.
type Box struct {
	Box       string `json:"box"`
	Zone      string `json:"zone"`
	Leaving   bool   `json:"leaving"`
	Callers   string `json:"callers"`
	Peers     string `json:"peers"`
	Operators string `json:"operators"`
}

// Client reaches the platform.
type Client struct {
	Get  func(ctx context.Context, kind, name string) (Object, error)
	List func(ctx context.Context, kind string) (Page, error)
	// Put stores the object if its version is current, and returns the new
	// version.
	Put func(ctx context.Context, o Object) (uint64, error)
	// Watch waits for changes after since and returns them, or an empty page
	// when the platform's own waiting time is over.
	Watch func(ctx context.Context, kind string, since uint64) (Page, error)
	Boxes func(ctx context.Context) ([]Box, error)
}

// ================================================================
// Errors
// ================================================================

// NotFoundError says that there is no such object.
type NotFoundError struct{ Kind, Name string }

// Error implements error.
func (e *NotFoundError) Error() string { return fmt.Sprintf("platform: no %s/%s", e.Kind, e.Name) }

// ConflictError says that another version is current. The write did not take
// effect.
type ConflictError struct{ Current uint64 }

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("platform: version %d is current", e.Current)
}

// UnavailableError says that the platform did not answer, and that the call
// had no effect.
type UnavailableError struct{ Detail string }

// Error implements error.
func (e *UnavailableError) Error() string { return "platform: unavailable: " + e.Detail }

// UnknownWriteError says that a write's answer was lost: it may have taken
// effect.
type UnknownWriteError struct{ Detail string }

// Error implements error.
func (e *UnknownWriteError) Error() string { return "platform: write of unknown effect: " + e.Detail }

// MalformedError says that the platform's answer could not be read.
type MalformedError struct{ Detail string }

// Error implements error.
func (e *MalformedError) Error() string { return "platform: malformed: " + e.Detail }
