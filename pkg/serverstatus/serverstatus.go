// Package serverstatus keeps what backend servers say of themselves in their answers: how many
// requests a second they take from all boxes together, for as long as that holds, and that they
// leave. A box that gets such an answer tells the others, so that those hold it too that have not
// sent the server anything yet. Keeping the sum of all boxes within the limit is package quota's
// matter.
//
// Answers to several boxes cross on their way, and so does what boxes tell each other. Each change
// therefore has a number, one above the highest that the box knew, and the higher number holds.
// Of two changes that boxes saw at a time the stricter one holds. An answer that names no limit
// ends one only if its request was sent after the limit was last heard of. That a server leaves
// holds until its life ends, whatever else it says: answers and entries that say nothing of it
// may be older.
//
// This package has no input or output: messages are handed in and out.
package serverstatus

// Record is what is known of one life of a backend server.
type Record struct {
	// Server names the life, see backend.Server.Life, and Zone is where it runs.
	Server string
	Zone   string
	// HasLimit: it names a limit, PerSecond in requests a second.
	HasLimit  bool
	PerSecond float64
	// LimitVersion orders the changes of the limit.
	LimitVersion uint32
	// Leaving: it leaves.
	Leaving bool
}

// supersedes reports whether the record's limit holds and not that of the other one, of the same server.
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
