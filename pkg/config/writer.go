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

// Kind is the kind of configuration objects in the platform.
const Kind = "services"

// ConflictError reports that the object is at another revision than expected.
type ConflictError struct {
	Name string
	// Current is the current revision, or 0 if the object does not exist.
	Current uint64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("service %q is at revision %d", e.Name, e.Current)
}

// NotFoundError reports that the object does not exist.
type NotFoundError struct {
	Name string
}

// Error implements error.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("no service %q", e.Name)
}

// UnknownWriteError reports that a write may have taken effect, and that reading the
// object did not show whether it has.
type UnknownWriteError struct {
	Name     string
	ChangeID string
}

// Error implements error.
func (e *UnknownWriteError) Error() string {
	return fmt.Sprintf("service %q: change %s may have been stored; read it again when the platform answers", e.Name, e.ChangeID)
}

// Writer changes the configuration in the platform. A change is accepted once it is stored
// there. Merge then activates it on this box, and package peer sends it to the others.
type Writer struct {
	Platform *platform.Client
	Store    *Store
	// Timeout is the timeout of one change, including the reads that check whether a
	// write whose answer was lost took effect.
	Timeout time.Duration
}

// Change is an operator's change of one object.
type Change struct {
	Name string
	// Expected is the revision that the operator read, or 0 to create the object.
	Expected uint64
	ChangeID string
	// Service or Plan is the new value; both are nil to delete the object.
	Service *model.Service
	Plan    *shift.Plan
}

// retryPause is the time that Apply waits before it reads the object again.
const retryPause = 50 * time.Millisecond

// Apply stores the change and returns the object that is then active. The error is a
// *ConflictError, *NotFoundError, *UnknownWriteError or an error of package platform.
//
// After a conflict or a lost answer it reads the object again: the change id shows whether
// the stored object is from this change.
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

// attempt is the state of one call of Apply.
type attempt struct {
	writer *Writer
	change Change
	// mayBeStored is set once a write of this change may have taken effect.
	mayBeStored bool
	// writtenRevision is the revision of the last such write.
	writtenRevision uint64
}

// tryOnce reads the object and writes the change, unless it finds that already stored.
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
	if err := c.checkRevision(current); err != nil {
		if a.mayBeStored && revisionOf(current) > a.writtenRevision {
			return nil, &UnknownWriteError{Name: c.Name, ChangeID: c.ChangeID}
		}
		return nil, err
	}
	next := c.newObject(current)
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

// retryable reports whether reading the object again may resolve the error.
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

// newest returns the newer of the platform's object and the active one, so that a platform
// that was restored to an older state does not decrease the revision.
func (w *Writer) newest(name string, stored *Object) *Object {
	here := w.Store.Get(name)
	if stored == nil || (here != nil && here.Newer(stored)) {
		return here
	}
	return stored
}

func (c Change) checkRevision(current *Object) error {
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

func (c Change) newObject(current *Object) *Object {
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

// Decode decodes a configuration object from a platform object. The error is a
// *platform.MalformedError.
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
