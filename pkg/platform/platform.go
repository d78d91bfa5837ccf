// Package platform is the client of the platform's object API: versioned objects with
// conditional updates, lists and watches of objects, and a list of boxes, which lags.
// Client has function fields so that tests can replace the network.
package platform

import (
	"context"
	"encoding/json"
	"fmt"
)

// Object is an object as stored by the platform.
type Object struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Version is assigned by the platform. In Put it is the version that must be
	// current, or 0 to create the object.
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// Page is the result of a list or of a watch.
type Page struct {
	// Version is the version from which the next watch continues.
	Version uint64   `json:"version"`
	Objects []Object `json:"objects"`
}

// Box is an entry of the platform's list of boxes.
type Box struct {
	Box       string `json:"box"`
	Zone      string `json:"zone"`
	Leaving   bool   `json:"leaving"`
	Callers   string `json:"callers"`
	Peers     string `json:"peers"`
	Operators string `json:"operators"`
}

// Client calls the platform.
type Client struct {
	Get  func(ctx context.Context, kind, name string) (Object, error)
	List func(ctx context.Context, kind string) (Page, error)
	// Put stores the object if its version is current, and returns the new version.
	Put func(ctx context.Context, o Object) (uint64, error)
	// Watch waits for changes after the version since and returns them, or an empty
	// page when the platform's time limit is over.
	Watch func(ctx context.Context, kind string, since uint64) (Page, error)
	Boxes func(ctx context.Context) ([]Box, error)
}

// ================================================================
// Errors
// ================================================================

// NotFoundError reports that the object does not exist.
type NotFoundError struct{ Kind, Name string }

// Error implements error.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("platform: no %s/%s", e.Kind, e.Name)
}

// ConflictError reports that another version is current. The write had no effect.
type ConflictError struct{ Current uint64 }

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("platform: conflict: the current version is %d", e.Current)
}

// UnavailableError reports that the platform did not answer, and that the call had no
// effect.
type UnavailableError struct{ Detail string }

// Error implements error.
func (e *UnavailableError) Error() string { return "platform: unavailable: " + e.Detail }

// UnknownWriteError reports that the answer to a write was lost, so that the write may
// have taken effect.
type UnknownWriteError struct{ Detail string }

// Error implements error.
func (e *UnknownWriteError) Error() string { return "platform: outcome of write unknown: " + e.Detail }

// MalformedError reports that the platform's answer could not be decoded.
type MalformedError struct{ Detail string }

// Error implements error.
func (e *MalformedError) Error() string { return "platform: malformed: " + e.Detail }
