package gossip

import (
	"slices"
	"sort"
	"time"
)

const (
	// zoneFanOut and farFanOut bound how many boxes of the own zone and of other zones one
	// heartbeat goes to. Traffic between regions is charged by the byte.
	zoneFanOut = 6
	farFanOut  = 4
	// maxOwnZoneRecords and maxLivenessRecords bound the liveness records of one heartbeat:
	// those of the own zone, and all. With zoneFanOut, a box in a zone of 125 hears of each
	// other one more than once in an Interval.
	maxOwnZoneRecords  = 32
	maxLivenessRecords = 48
	// minOtherZoneRecords is how many liveness records are reserved for boxes of other zones.
	// While a fleet starts, updates on the own zone would take all the room. Then another zone
	// would be heard of only through its own few heartbeats, and a box that received none for
	// SuspectFarAfter would consider the whole zone silent.
	minOtherZoneRecords = 12
	// maxUpdates bounds the membership updates of one heartbeat. What does not fit, such as
	// when a fleet starts, is sent with the next ones.
	maxUpdates = 24
	// shareZoneEvery: one in this many heartbeats to other zones carries liveness records of
	// this zone's boxes.
	shareZoneEvery = 4
	// contactSilentEvery: one in this many heartbeats also goes to silent boxes, so that boxes
	// find each other again after a network partition.
	contactSilentEvery = 4
)

// Envelope is a message and the addresses that it goes to.
type Envelope struct {
	Message Message
	To      []string
}

// Beat returns the next heartbeat: one message for the own zone, one for some boxes of other
// zones, and a probe for boxes of the own zone that have been silent for a while.
func (t *Table) Beat() []Envelope {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.heartbeats++
	to := t.farTargets()
	if t.heartbeats%contactSilentEvery == 1 {
		to = append(to, pick(t.silentAddresses(), farFanOut, t.Random)...)
	}
	live, quiet := t.liveInZone()
	near, others, updates := t.takeRecent()
	zone := t.newHeartbeat()
	far, probe := zone, zone
	zone.Liveness = slices.Concat(updates, livenessRecords(near), livenessRecords(others[:min(len(others), maxLivenessRecords-len(updates)-len(near))]))
	far.Liveness = updates
	if t.heartbeats%shareZoneEvery == 0 {
		far.Liveness = slices.Concat(updates, livenessRecords(near))
	}
	probe.Probe = true
	return []Envelope{
		{Message: zone, To: t.zoneTargets(live)},
		{Message: far, To: to},
		{Message: probe, To: quiet},
	}
}

// Announce returns a heartbeat that is sent out of turn to the live boxes of this box's zone.
func (t *Table) Announce() Envelope {
	t.mu.Lock()
	defer t.mu.Unlock()
	live, _ := t.liveInZone()
	return Envelope{Message: t.newHeartbeat(), To: peers(live)}
}

// liveInZone returns the live boxes of the own zone by name, and the addresses of those that
// have been silent for longer than probeAfter.
func (t *Table) liveInZone() (live []*entry, quiet []string) {
	now := t.Now()
	for _, e := range t.ownZone.members {
		if !t.live(e, now) {
			continue
		}
		live = append(live, e)
		if now.Sub(e.heard) > probeAfter {
			quiet = append(quiet, e.Peers)
		}
	}
	return live, quiet
}

// silentAddresses returns the addresses of boxes that are silent but not yet forgotten, and of
// seeds that are not known.
func (t *Table) silentAddresses() []string {
	now := t.Now()
	unknown := map[string]bool{}
	for _, seed := range t.Seeds() {
		unknown[seed] = seed != t.self.Peers
	}
	var list []string
	for _, e := range t.sorted {
		if now.Sub(e.heard) > ForgetAfter {
			continue
		}
		if len(unknown) > 0 {
			delete(unknown, e.Peers)
		}
		if !t.live(e, now) {
			list = append(list, e.Peers)
		}
	}
	for _, seed := range t.Seeds() {
		if unknown[seed] {
			unknown[seed] = false
			list = append(list, seed)
		}
	}
	return list
}

// zoneTargets returns the addresses of the next boxes of the zone in round-robin order,
// starting after this box's own position. So each box waits no longer than one round for a
// heartbeat, and all receive equally many. A box that polls the store sends to the whole zone:
// the others learn of changes from it, and consider it gone when it is silent.
func (t *Table) zoneTargets(zone []*entry) []string {
	if len(zone) <= zoneFanOut || t.self.StoreHealthy || t.self.StoreUnanswered {
		return peers(zone)
	}
	place := sort.Search(len(zone), func(i int) bool { return zone[i].Box > t.self.Box })
	var to []string
	for range zoneFanOut {
		to = append(to, zone[(place+t.zoneOffset)%len(zone)].Peers)
		t.zoneOffset++
	}
	return to
}

// farTargets returns the addresses of the next boxes of other zones, in a random order in
// which each is used once before any is used again. If boxes were drawn anew for each
// heartbeat, small zones could go unheard for SuspectFarAfter by chance alone.
func (t *Table) farTargets() []string {
	now := t.Now()
	var to []string
	for isNew := false; len(to) < farFanOut; {
		if len(t.farQueue) == 0 {
			if isNew {
				return to // all live boxes are in the list
			}
			t.farQueue, isNew = t.farBoxes(now), true
			shuffle(t.farQueue, t.Random)
			continue
		}
		next := t.farQueue[0]
		t.farQueue = t.farQueue[1:]
		if t.live(next, now) && !slices.Contains(to, next.Peers) {
			to = append(to, next.Peers)
		}
	}
	return to
}

// farBoxes returns the live boxes of other zones.
func (t *Table) farBoxes(now time.Time) []*entry {
	var far []*entry
	for _, e := range t.sorted {
		if e.zone != t.ownZone && t.live(e, now) {
			far = append(far, e)
		}
	}
	return far
}

func peers(list []*entry) []string {
	var out []string
	for _, e := range list {
		out = append(out, e.Peers)
	}
	return out
}

// takeRecent returns the boxes of the own zone and of others that were heard of since the last
// heartbeat, in random order, and the membership updates to send. It clears the list of recent
// boxes.
func (t *Table) takeRecent() (near, others []*entry, updates LivenessRecords) {
	for _, e := range t.recent {
		switch {
		case e.silent:
		case e.zone == t.ownZone:
			near = append(near, e)
		default:
			others = append(others, e)
		}
		e.inRecent = false
	}
	t.recent = t.recent[:0]
	shuffle(near, t.Random)
	shuffle(others, t.Random)
	updates = t.takeUpdates()
	return near[:min(len(near), maxOwnZoneRecords, maxLivenessRecords-minOtherZoneRecords-len(updates))], others, updates
}

// takeUpdates returns pending membership updates in random order, first of boxes that fell
// silent, then of boxes that joined or came back.
func (t *Table) takeUpdates() LivenessRecords {
	var silent, live []*entry
	still := t.updates[:0]
	for _, e := range t.updates {
		switch {
		case e.updatesLeft == 0:
			e.inUpdates = false
			continue
		case e.silent:
			silent = append(silent, e)
		default:
			live = append(live, e)
		}
		still = append(still, e)
	}
	clear(t.updates[len(still):])
	t.updates = still
	shuffle(silent, t.Random)
	shuffle(live, t.Random)
	list := append(silent, live...)
	list = list[:min(len(list), maxUpdates)]
	for _, e := range list {
		e.updatesLeft--
	}
	return livenessRecords(list)
}

// pick returns up to n elements of the list, drawn at random. It changes the list's order.
func pick[T any](list []T, n int, random func(n int) int) []T {
	shuffle(list, random)
	return list[:min(len(list), n):min(len(list), n)]
}

func shuffle[T any](list []T, random func(n int) int) {
	for i := len(list) - 1; i > 0; i-- {
		j := random(i + 1)
		list[i], list[j] = list[j], list[i]
	}
}
