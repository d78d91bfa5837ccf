package quarantine

import "time"

// StoredHold is a held request as the platform's store keeps it, under its fingerprint.
type StoredHold struct {
	Crashed []string `json:"crashed"`
	// UntilMS is when the hold ends, in milliseconds since 1970. Boxes' clocks of the time of
	// day are some seconds apart at most, a hundredth of a hold.
	UntilMS int64 `json:"until_ms"`
}

// NewStoredHold returns a record as it is kept, given the time of day.
func NewStoredHold(r *Record, now time.Time) StoredHold {
	return StoredHold{Crashed: r.Crashed, UntilMS: now.Add(r.Remaining).UnixMilli()}
}

// maxNameBytes bounds the name of a server's life in what is read, in bytes.
const maxNameBytes = 128

// Record returns what is kept of a request, given the time of day; ok is false if it is over, or
// nothing that a box would have written.
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
