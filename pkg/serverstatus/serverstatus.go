// Package serverstatus keeps what backend servers report about themselves in their answers:
// how many requests per second they accept from all boxes together, for as long as that limit
// holds, and that they leave. A box that gets such an answer sends it to the others, so that
// boxes that have not sent the server any request yet know it too. Keeping the sum of all
// boxes within the limit is the task of package quota.
//
// Answers to several boxes can overtake each other, and so can messages between boxes. Each
// change of a limit therefore has a version, one above the highest that the box knew, and the
// higher version wins. If boxes make two changes with the same version, the stricter one wins.
// An answer that names no limit ends one only if its request was sent after the limit was last
// seen. That a server leaves holds until its incarnation ends, whatever else it reports:
// answers and records that do not say so may be older.
//
// This package has no input or output: messages are passed in and out.
package serverstatus

// Record is what is known of one incarnation of a backend server.
type Record struct {
	// Server names the incarnation, see backend.Server.Incarnation, and Zone is where it runs.
	Server string
	Zone   string
	// HasLimit is set if the server names a limit, which is PerSecond in requests per second.
	HasLimit  bool
	PerSecond float64
	// LimitVersion orders the changes of the limit.
	LimitVersion uint32
	// Leaving is set if the server leaves.
	Leaving bool
}

// supersedes reports whether the record's limit takes precedence over that of another record
// of the same server.
func (r *Record) supersedes(other *Record) bool {
	if r.LimitVersion != other.LimitVersion {
		return r.LimitVersion > other.LimitVersion
	}
	return r.isStricter(other)
}

func (r *Record) isStricter(other *Record) bool {
	if r.HasLimit != other.HasLimit {
		return r.HasLimit
	}
	return r.HasLimit && r.PerSecond < other.PerSecond
}
