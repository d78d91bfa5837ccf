package soak

import "time"

// ================================================================
// A store that comes back from an older copy.
// ================================================================

const (
	// writtenAgain is how long after that others than boxes have written again what was lost, and
	// copySettles how much longer boxes may hold to what was in effect before.
	writtenAgain = 1500 * time.Millisecond
	copySettles  = 2500 * time.Millisecond
)

// comeBackFromCopy copies the store, and makes it come back from that copy after the event's
// duration. The store counts as disturbed until boxes have to follow it again.
func (r *run) comeBackFromCopy(e Event) {
	end := r.beginFault(StoreCopy, "")
	copied := r.fleet.Store.Copy()
	r.later(e.Duration, func() {
		r.fleet.Store.ComeBackFrom(copied)
		time.Sleep(time.Duration(e.Target%4+1) * writtenAgain / 4)
		r.fleet.Store.WriteAgain(copied)
		time.Sleep(copySettles)
		end()
	})
}
