package gossip

import (
	"strconv"

	"github.com/stoneworks/stoneworks/pkg/hashing"
	"github.com/stoneworks/stoneworks/pkg/objects"
	"github.com/stoneworks/stoneworks/pkg/utilization"
)

// Record is what a box sends about itself.
type Record struct {
	Box  string `json:"box"`
	Zone string `json:"zone"`
	// Clients and Peers are the box's addresses for clients and for other boxes.
	Clients string `json:"clients"`
	Peers   string `json:"peers"`
	// Started identifies the incarnation of the box: its start, in nanoseconds of its clock.
	Started int64 `json:"started"`
	// Capacity is roughly how many requests per second the box can handle; 0 if that is not
	// known.
	Capacity float64 `json:"capacity,omitempty"`
	// Sequence rises with each heartbeat of an incarnation.
	Sequence uint64 `json:"beat"`
	Ready    bool   `json:"ready,omitempty"`
	Leaving  bool   `json:"leaving,omitempty"`
	// StoreHealthy: the store has answered this box without failures for a while.
	StoreHealthy bool `json:"store_healthy,omitempty"`
	// StoreUnanswered: the box polls the store, but has no healthy contact with it.
	StoreUnanswered bool `json:"trying,omitempty"`
	// Serving: clients have recently sent the box requests.
	Serving bool `json:"serving,omitempty"`
	// ConfirmedAgo is how long before this record was sent the store last sent or confirmed
	// the box's configuration, in milliseconds plus one; 0 if the box does not poll the store.
	ConfirmedAgo uint32 `json:"confirmed_ago,omitempty"`
	// ListConfirmedAgo is the same for the list of backend servers.
	ListConfirmedAgo uint32 `json:"list_confirmed_ago,omitempty"`
	// Versions are the versions of the box's mirrors, by kind.
	Versions map[string]objects.Version `json:"versions,omitempty"`
	// Use is how much of its machine the box uses. Boxes that do not send it yet, or do not know
	// the size of their machines, count as free.
	Use utilization.Level `json:"use,omitempty"`
}

// placement is what the choice of boxes for clients depends on.
type placement struct {
	zone, clients  string
	capacity       float64
	ready, leaving bool
	use            utilization.Level
}

func (r *Record) placement() placement {
	return placement{zone: r.Zone, clients: r.Clients, capacity: r.Capacity, ready: r.Ready, leaving: r.Leaving, use: r.Use}
}

// newer reports whether r replaces old.
func (r *Record) newer(old *Record) bool {
	if r.Started != old.Started {
		return r.Started > old.Started
	}
	return r.Sequence > old.Sequence
}

// precedes reports whether r comes before other in the order in which boxes of a zone take on
// work for the zone: larger boxes first, since that work grows with the zone, then by name.
func (r *Record) precedes(other *Record) bool {
	if r.Capacity != other.Capacity {
		return r.Capacity > other.Capacity
	}
	return r.Box < other.Box
}

// id identifies this incarnation of the box in liveness records.
func (r *Record) id() uint32 {
	return uint32(hashing.Of(r.Box, strconv.FormatInt(r.Started, 10)))
}

// livenessRecord returns the compact form of the record.
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
	s.Flags |= Flags(r.Use) << useShift
	return s
}

// apply updates the record from a liveness record of the same incarnation.
func (r *Record) apply(s LivenessRecord) {
	r.Sequence = uint64(s.Sequence)
	r.Ready = s.Flags&FlagReady != 0
	r.Leaving = s.Flags&FlagLeaving != 0
	r.StoreHealthy = s.Flags&FlagStoreHealthy != 0
	r.StoreUnanswered = s.Flags&FlagTrying != 0
	r.Serving = s.Flags&FlagServing != 0
	r.Use = utilization.Level(s.Flags >> useShift)
}

// Flags are the states of a box in a liveness record.
type Flags uint8

// The states of a box.
const (
	FlagReady Flags = 1 << iota
	FlagLeaving
	FlagStoreHealthy
	FlagTrying
	// FlagSilent: a box of its own zone has not heard of it for SuspectAfter.
	FlagSilent
	FlagServing
)

// useShift is the position of the level of use in Flags, of which it takes the last two bits.
const useShift = 6

// LivenessRecord is what was heard of a box, for receivers that know its full record: 9 bytes
// instead of a whole record.
type LivenessRecord struct {
	// ID is a hash of the box's name and the start of its incarnation. With 3,000 boxes, two
	// share an ID with a probability of 1 in 1,000; the one that is heard then stands for both
	// until either restarts.
	ID uint32
	// Sequence is the highest sequence number that was heard; 32 bits last for an incarnation
	// of 68 years.
	Sequence uint32
	Flags    Flags
}
