package objects

import "time"

// ================================================================
// A store that comes back from an older copy. It has lost what was written since, and gives its
// revisions out again. Everybody but the boxes writes again what was lost.
// ================================================================

// settleTime is how long the state from before a new era stays in effect where the copy differs:
// by then everybody has written again.
const settleTime = 2500 * time.Millisecond

// deferral is a difference between the mirror's objects and those that were reported.
type deferral struct {
	// applied is the object as it was reported last, nil if it was not or was reported as deleted.
	applied *Object
	until   time.Time
}

// restore replaces the mirror with a list of a later era. What the list shows of the time before
// may be older than what is known: a server that has left would be used again, and a change in
// effect would be undone until it is written again. So such differences are applied by Settle,
// unless a change in the new era comes first.
func (m *Mirror) restore(items []Object, extent Extent) {
	applied := m.appliedObjects()
	until := m.Now().Add(settleTime)
	m.items, m.digest, m.deferred = map[string]Object{}, 0, map[string]deferral{}
	m.extent = extent
	for _, o := range items {
		m.set(o)
		known, has := applied[o.Name]
		delete(applied, o.Name)
		switch {
		case has && sameContent(&known, &o):
		case o.Revision > extent.EraSeenAt, m.AppliesAtOnce(optional(known, has), o):
			m.report(o, false)
		default:
			m.deferred[o.Name] = deferral{applied: optional(known, has), until: until}
		}
	}
	for name, known := range applied {
		m.deferred[name] = deferral{applied: optional(known, true), until: until}
	}
	m.changes.reset(m.extent.PartialTo)
}

// LoadCopy replaces the mirror with a list although that is older, because the store has come back
// from an older copy without telling an era.
func (m *Mirror) LoadCopy(items []Object, extent Extent) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.restore(items, extent)
}

func optional(o Object, has bool) *Object {
	if !has {
		return nil
	}
	return &o
}

// appliedObjects returns the objects as they were reported last, by name.
func (m *Mirror) appliedObjects() map[string]Object {
	applied := make(map[string]Object, len(m.items))
	for name, o := range m.items {
		applied[name] = o
	}
	for name, d := range m.deferred {
		delete(applied, name)
		if d.applied != nil {
			applied[name] = *d.applied
		}
	}
	return applied
}

// takeApplied ends the deferral of an object that has changed, and returns the object as it was
// reported last, given that of the mirror.
func (m *Mirror) takeApplied(name string, known Object, has bool) (applied Object, wasReported bool) {
	d, isDeferred := m.deferred[name]
	if !isDeferred {
		return known, has
	}
	delete(m.deferred, name)
	if d.applied == nil {
		return Object{}, false
	}
	return *d.applied, true
}

// Settle applies the differences whose time is over. Call it several times a second.
func (m *Mirror) Settle() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.deferred) == 0 {
		return
	}
	now := m.Now()
	for name, d := range m.deferred {
		if now.Before(d.until) {
			continue
		}
		delete(m.deferred, name)
		switch o, has := m.items[name]; {
		case has:
			m.report(o, false)
		case d.applied != nil:
			m.report(*d.applied, true)
		}
	}
}

// NewEraError reports that the store has come back from an older copy.
type NewEraError struct{ Kind string }

// Error implements error.
func (e *NewEraError) Error() string {
	return "objects: the store has come back from an older copy; " + e.Kind + " is listed again"
}

// PastEraError reports an answer of an era before the mirror's.
type PastEraError struct{ Kind string }

// Error implements error.
func (e *PastEraError) Error() string {
	return "objects: an answer for " + e.Kind + " is of a past era"
}

// checkEra compares the era of an answer with the mirror's, and with the newest that is known. The
// error is a *NewEraError or a *PastEraError.
func (f *Follower) checkEra(era uint64) error {
	f.OnEra(era)
	own := f.Mirror.Version().Era
	switch {
	case era == 0 || own == 0 || era == own:
		return nil
	case era > own:
		return &NewEraError{Kind: f.Mirror.Kind}
	}
	return &PastEraError{Kind: f.Mirror.Kind}
}
