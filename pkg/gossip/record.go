package gossip

import (
	"strconv"

	"github.com/stoneworks/stoneworks/pkg/hashing"
	"github.com/stoneworks/stoneworks/pkg/objects"
)

// Record is what a box tells of itself.
type Record struct {
	Box  string `json:"box"`
	Zone string `json:"zone"`
	// Clients and Peers are the box's addresses.
	Clients string `json:"clients"`
	Peers   string `json:"peers"`
	// Started tells the lives of a box apart, in nanoseconds of its clock.
	Started int64 `json:"started"`
	// Capacity is about how many requests a second the box bears; 0 if that is
	// not known.
	Capacity float64 `json:"capacity,omitempty"`
	// Sequence rises with each message of a life.
	Sequence uint64 `json:"beat"`
	Ready    bool   `json:"ready,omitempty"`
	Leaving  bool   `json:"leaving,omitempty"`
	// StoreHealthy: the store has answered this box without fail for a while.
	StoreHealthy bool `json:"store_healthy,omitempty"`
	// StoreUnanswered: the box asks the store, but has no healthy contact with it.
	StoreUnanswered bool `json:"trying,omitempty"`
	// Serving: clients have lately sent it requests.
	Serving bool `json:"serving,omitempty"`
	// ConfirmedAgo is how long before this was sent the store last told the box, or
	// confirmed, the configuration that it has, in milliseconds and one more; 0 if it
	// does not ask the store.
	ConfirmedAgo uint32 `json:"confirmed_ago,omitempty"`
	// ListConfirmedAgo is the same for the list of backend servers.
	ListConfirmedAgo uint32 `json:"list_confirmed_ago,omitempty"`
	// Versions tells how new the box's mirrors are, by kind.
	Versions map[string]objects.Version `json:"versions,omitempty"`
}

// newer reports whether r replaces old.
func (r *Record) newer(old *Record) bool {
	if r.Started != old.Started {
		return r.Started > old.Started
	}
	return r.Sequence > old.Sequence
}

// precedes reports whether r comes before the other box of its zone in the
// order in which boxes take on work for the zone: larger boxes first, since
// that work grows with the zone, then by name.
func (r *Record) precedes(other *Record) bool {
	if r.Capacity != other.Capacity {
		return r.Capacity > other.Capacity
	}
	return r.Box < other.Box
}

// id names this life of the box in sightings.
func (r *Record) id() uint32 {
	return uint32(hashing.Of(r.Box, strconv.FormatInt(r.Started, 10)))
}

// livenessRecord is the record in short.
func (r *Record) livenessRecord() LivenessRecord {
	s := LivenessRecord{ID: r.id(), Sequence: uint32(r.Sequence)}
	for _, f := range []struct {
		set  bool
		flag Flags
	}{
		{r.Ready, FlagReady}, {r.Leaving, FlagLeaving}, {r.StoreHealthy, FlagStoreHealthy}, {r.StoreUnanswered, FlagTrying}, {r.Serving, FlagServing},
	} {
		if f.set {
			s.Flags |= f.flag
		}
	}
	return s
}

// apply takes over what a sighting says of this life of the box.
func (r *Record) apply(s LivenessRecord) {
	r.Sequence = uint64(s.Sequence)
	r.Ready = s.Flags&FlagReady != 0
	r.Leaving = s.Flags&FlagLeaving != 0
	r.StoreHealthy = s.Flags&FlagStoreHealthy != 0
	r.StoreUnanswered = s.Flags&FlagTrying != 0
	r.Serving = s.Flags&FlagServing != 0
}

// Flags are the states of a box in a sighting.
type Flags uint8

// The states.
const (
	FlagReady Flags = 1 << iota
	FlagLeaving
	FlagStoreHealthy
	FlagTrying
	// FlagSilent: a box of its own zone has not heard it for SuspectAfter.
	FlagSilent
	FlagServing
)

// LivenessRecord is what was heard of a box, for those that know its record: 9 bytes
// in place of a whole record.
type LivenessRecord struct {
	// ID is a hash of the box's name and the start of its life. Two of 3,000
	// boxes share one with a chance of 1 in 1,000; the one that is heard then
	// stands for both until either starts anew.
	ID uint32
	// Sequence is the newest that was heard; a life of 68 years fits.
	Sequence uint32
	Flags    Flags
}
