package config

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/stoneworks/stoneworks/pkg/model"
	"github.com/stoneworks/stoneworks/pkg/platform"
	"github.com/stoneworks/stoneworks/pkg/shift"
)

// Kind is the platform's kind of the configuration objects.
const Kind = "services"

// ConflictError says that somebody else changed the object first.
type ConflictError struct {
	Name string
	// Current is the revision in force; 0 if the object does not exist.
	Current uint64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("service %q is at revision %d", e.Name, e.Current)
}

// NotFoundError says that the object does not exist.
type NotFoundError struct {
	Name string
}

// Error implements error.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("no service %q", e.Name)
}

// UnknownWriteError says that a write may or may not have taken effect, and
// that the platform could not be asked which.
type UnknownWriteError struct {
	Name     string
	ChangeID string
}

// Error implements error.
func (e *UnknownWriteError) Error() string {
	return fmt.Sprintf("service %q: change %s may have been stored; read it again when the platform answers", e.Name, e.ChangeID)
}

// Writer changes the configuration in the platform. Accepted means stored
// there; Merge then puts it in force here, and the exchange between boxes
// everywhere else.
type Writer struct {
	Platform *platform.Client
	Store    *Store
	// Timeout bounds one change, with looking for a write whose answer was lost.
	Timeout time.Duration
}

// Change is what an operator wants to become of one object.
type Change struct {
	Name string
	// Expected is the revision the operator saw; 0 to create.
	Expected uint64
	ChangeID string
	// Service, or Plan, is what it becomes; both nil to delete.
	Service *model.Service
	Plan    *shift.Plan
}

// retryPause is how long Apply waits before it reads the object again.
const retryPause = 50 * time.Millisecond

// Apply stores the change and returns the object that is then in force. The
// error is a *ConflictError, *NotFoundError, *UnknownWriteError or one of
// package platform's.
//
// A conflict or a lost answer is followed by reading the object again: the
// change id tells whether the write that is found there is ours.
func (w *Writer) Apply(ctx context.Context, c Change) (*Object, error) {
	ctx, cancel := context.WithTimeout(ctx, w.Timeout)
	defer cancel()
	a := attempt{writer: w, change: c}
	for {
		o, err := a.tryOnce(ctx)
		if o != nil || (err != nil && !a.retryable(err)) {
			return o, err
		}
		select {
		case <-ctx.Done():
			return nil, a.finalError(err)
		case <-time.After(retryPause):
		}
	}
}

// attempt is the state of one Apply.
type attempt struct {
	writer *Writer
	change Change
	// mayBeStored is set once a write of ours may have taken effect.
	mayBeStored bool
	// writtenRevision is the revision that such a write has.
	writtenRevision uint64
}

// tryOnce reads the object and tries to write it.
func (a *attempt) tryOnce(ctx context.Context) (*Object, error) {
	w, c := a.writer, a.change
	stored, version, err := w.read(ctx, c.Name)
	if err != nil {
		return nil, err
	}
	current := w.newest(c.Name, stored)
	if current != nil && current.ChangeID == c.ChangeID {
		return w.activate(current), nil
	}
	if err := c.checkAgainst(current); err != nil {
		if a.mayBeStored && revisionOf(current) > a.writtenRevision {
			return nil, &UnknownWriteError{Name: c.Name, ChangeID: c.ChangeID}
		}
		return nil, err
	}
	next := c.object(current)
	err = w.put(ctx, next, version)
	if err == nil {
		return w.activate(next), nil
	}
	var lost *platform.UnknownWriteError
	if errors.As(err, &lost) {
		a.mayBeStored, a.writtenRevision = true, next.Revision
	}
	return nil, err
}

// retryable reports whether the error may pass when the object is read retryable.
func (a *attempt) retryable(err error) bool {
	var lost *platform.UnknownWriteError
	var conflict *platform.ConflictError
	var down *platform.UnavailableError
	switch {
	case errors.As(err, &lost), errors.As(err, &conflict):
		return true
	case errors.As(err, &down):
		return a.mayBeStored
	}
	return false
}

func (a *attempt) finalError(err error) error {
	if a.mayBeStored {
		return &UnknownWriteError{Name: a.change.Name, ChangeID: a.change.ChangeID}
	}
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return &ConflictError{Name: a.change.Name, Current: revisionOf(a.writer.Store.Get(a.change.Name))}
	}
	return err
}

// newest is the newer of what the platform has and what is in force here; a
// platform that was put back to an older state must not turn time back.
func (w *Writer) newest(name string, stored *Object) *Object {
	here := w.Store.Get(name)
	if stored == nil || (here != nil && here.Newer(stored)) {
		return here
	}
	return stored
}

func (c Change) checkAgainst(current *Object) error {
	exists := current != nil && !current.Deleted
	switch {
	case c.Expected == 0 && exists:
		return &ConflictError{Name: c.Name, Current: current.Revision}
	case c.Expected == 0:
		return nil
	case !exists:
		return &NotFoundError{Name: c.Name}
	case current.Revision != c.Expected:
		return &ConflictError{Name: c.Name, Current: current.Revision}
	}
	return nil
}

func (c Change) object(current *Object) *Object {
	next := &Object{Name: c.Name, Revision: 1, ChangeID: c.ChangeID, Service: c.Service, Plan: c.Plan}
	next.Deleted = c.Service == nil && c.Plan == nil
	if current != nil {
		next.Revision = current.Revision + 1
	}
	return next
}

func (w *Writer) read(ctx context.Context, name string) (*Object, uint64, error) {
	got, err := w.Platform.Get(ctx, Kind, name)
	var missing *platform.NotFoundError
	if errors.As(err, &missing) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	o, err := Decode(got)
	return o, got.Version, err
}

func (w *Writer) put(ctx context.Context, next *Object, version uint64) error {
	value, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "encode object")
	}
	_, err = w.Platform.Put(ctx, platform.Object{Kind: Kind, Name: next.Name, Version: version, Value: value})
	return err
}

func (w *Writer) activate(o *Object) *Object {
	w.Store.Merge(o)
	return o
}

func revisionOf(o *Object) uint64 {
	if o == nil {
		return 0
	}
	return o.Revision
}

// Decode reads a configuration object from the platform's.
func Decode(p platform.Object) (*Object, error) {
	var o Object
	if err := json.Unmarshal(p.Value, &o); err != nil {
		return nil, &platform.MalformedError{Detail: fmt.Sprintf("%s/%s: %v", p.Kind, p.Name, err)}
	}
	if o.Name != p.Name || o.Revision == 0 || (o.Service == nil && o.Plan == nil) != o.Deleted {
		return nil, &platform.MalformedError{Detail: fmt.Sprintf("%s/%s: not a configuration object", p.Kind, p.Name)}
	}
	return &o, nil
}
