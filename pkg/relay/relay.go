// Package relay opens connections to backend servers through another box while this box's own
// links to them fail. All decisions about a request stay with this box: the helping box only
// passes bytes on, over a connection that it opens itself.
//
// A server that does not answer may have failed, or only the link to it may have. So a failed
// attempt to connect says nothing of the server until another box has failed to connect as well.
//
// Example: box a loses its links to all backend servers, while box b keeps its own. Its next
// attempt to connect to server s hangs; after headStart it also asks box b, which connects. The
// path to s counts as broken once the direct attempt has failed. From then on box a reaches s
// through other boxes at once, and tries its own link in the background until that works again.
//
// This package does no input or output: connections are opened through function fields.
package relay

import (
	"errors"
	"fmt"
	"syscall"
)

// Target is a backend server to connect to.
type Target struct {
	Address string
	// Incarnation identifies the server that is expected at the address.
	Incarnation string
	// Region is the server's region.
	Region string
	// Bound is true if the requests may be passed on in the server's region only.
	Bound bool
}

// Box is another box that may help.
type Box struct {
	Name string
	// Address is the box's address for other boxes.
	Address string
	Region  string
	// Capacity is roughly how many requests per second the box can handle; 0 if unknown.
	Capacity float64
}

// Reason is why a box did not open a connection for another one.
type Reason string

// The reasons.
const (
	// Unavailable: the box did not answer, is busy or leaving, or has no link to the server
	// itself.
	Unavailable Reason = "unavailable"
	// ServerRefused: the server's port refused the box's connection, while the box reaches other
	// servers.
	ServerRefused Reason = "server refused"
	// ServerSilent: the server did not answer the box, which reaches other servers.
	ServerSilent Reason = "server silent"
)

// HelperError reports that a box did not open a connection to a server.
type HelperError struct {
	Box    string
	Reason Reason
	// Cause is the underlying error, or nil if the box answered.
	Cause error
}

// Error implements error.
func (e *HelperError) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("relay: box %s: %s", e.Box, e.Reason)
	}
	return fmt.Sprintf("relay: box %s: %s: %v", e.Box, e.Reason, e.Cause)
}

// Unwrap returns the cause, which is ECONNREFUSED if the server's port refused.
func (e *HelperError) Unwrap() error {
	if e.Reason == ServerRefused {
		return syscall.ECONNREFUSED
	}
	return e.Cause
}

// NoPathError reports that a server could not be reached although it may be well: this box's own
// link to it is broken, and no other box helped.
type NoPathError struct {
	Address string
	// Causes holds the error of each attempt.
	Causes []error
}

// Error implements error. It does not unwrap to the causes, which are no evidence against the
// server.
func (e *NoPathError) Error() string {
	return fmt.Sprintf("relay: no path to %s: %v", e.Address, errors.Join(e.Causes...))
}

// IsNoPath reports whether an error is a *NoPathError.
func IsNoPath(err error) bool {
	var noPath *NoPathError
	return errors.As(err, &noPath)
}
