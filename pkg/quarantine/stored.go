package quarantine

import "time"

// StoredHold is a held request as the platform's store keeps it, under its fingerprint.
type StoredHold struct {
	Crashed []string `json:"crashed"`
	// UntilMS is when the hold ends, in milliseconds since 1970. The wall clocks of boxes
	// differ by some seconds at most, a hundredth of a hold.
	UntilMS int64 `json:"until_ms"`
}

// NewStoredHold converts a record to the form in which it is stored, given the wall clock
// time.
func NewStoredHold(r *Record, now time.Time) StoredHold {
	return StoredHold{Crashed: r.Crashed, UntilMS: now.Add(r.Remaining).UnixMilli()}
}

// maxNameBytes bounds the name of a server's incarnation in what is read from the store, in
// bytes.
const maxNameBytes = 128

// Record returns the record of a stored hold, given the wall clock time. ok is false if the
// hold has ended, or if no box would have written it.
func (s *StoredHold) Record(f Fingerprint, now time.Time) (r Record, ok bool) {
	left := time.UnixMilli(s.UntilMS).Sub(now)
	if left <= 0 || len(s.Crashed) == 0 || len(s.Crashed) > maxServers {
		return Record{}, false
	}
	for _, name := range s.Crashed {
		if name == "" || len(name) > maxNameBytes {
			return Record{}, false
		}
	}
	return Record{Request: f, Crashed: s.Crashed, Remaining: left}, true
}
