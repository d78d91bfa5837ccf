package gossip

import (
	"slices"
	"sort"
	"time"
)

const (
	// zoneFanOut and farFanOut bound the boxes of the own zone and of others
	// that one heartbeat goes to. Bytes between regions have a price.
	zoneFanOut = 6
	farFanOut  = 4
	// maxOwnZoneRecords and seenTogether bound the sightings of one heartbeat: of the
	// own zone, and of all. With zoneFanOut a box of a zone of 125 hears of
	// each other one more than once in an Interval.
	maxOwnZoneRecords  = 32
	maxLivenessRecords = 48
	// minOtherZoneRecords is the least that is kept for boxes of other zones. While a fleet starts
	// the news of the own zone would take all; then nothing but a zone's own few
	// heartbeats tells of it, some boxes hear none for SuspectFarAfter, and each
	// takes the whole zone for silent.
	minOtherZoneRecords = 12
	// maxUpdates bounds the news of one heartbeat. What does not fit, as when a
	// fleet starts, is told with the next ones.
	maxUpdates = 24
	// shareZoneEvery: one in so many heartbeats to other zones tells what was
	// heard of this zone's boxes.
	shareZoneEvery = 4
	// contactSilentEvery: one in so many heartbeats also goes to silent boxes, so that
	// boxes find each other again after a cut.
	contactSilentEvery = 4
)

// Envelope is a message and the addresses that it goes to.
type Envelope struct {
	Message Message
	To      []string
}

// Beat returns the next heartbeat: one message for the own zone, one for some
// boxes of others, and one for those of the zone that have been silent.
func (t *Table) Beat() []Envelope {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.beats++
	to := t.farTargets()
	if t.beats%contactSilentEvery == 1 {
		to = append(to, pick(t.silentAddresses(), farFanOut, t.Random)...)
	}
	live, quiet := t.liveInZone()
	near, others, news := t.takeRecent()
	zone := t.newHeartbeat()
	far, probe := zone, zone
	zone.Liveness = slices.Concat(news, livenessRecords(near), livenessRecords(others[:min(len(others), maxLivenessRecords-len(news)-len(near))]))
	far.Liveness = news
	if t.beats%shareZoneEvery == 0 {
		far.Liveness = slices.Concat(news, livenessRecords(near))
	}
	probe.Probe = true
	return []Envelope{
		{Message: zone, To: t.zoneTargets(live)},
		{Message: far, To: to},
		{Message: probe, To: quiet},
	}
}

// Announce returns a heartbeat out of turn, and the addresses of the live
// boxes of this box's zone.
func (t *Table) Announce() Envelope {
	t.mu.Lock()
	defer t.mu.Unlock()
	live, _ := t.liveInZone()
	return Envelope{Message: t.newHeartbeat(), To: peers(live)}
}

// liveInZone returns the live boxes of the own zone in the order of names, and where those of them
// are that have been silent for a while.
func (t *Table) liveInZone() (live []*entry, quiet []string) {
	now := t.Now()
	for _, e := range t.own.members {
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

// silentAddresses returns where boxes are that are silent and not forgotten, and seeds that are not
// known.
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

// zoneTargets returns the next boxes of the zone in turn, from this one's own
// place on, so that each waits for no longer than one round and as many come to
// each. A box that asks the store tells all of the zone: the others take its
// silence for its end, and learn from it of changes.
func (t *Table) zoneTargets(zone []*entry) []string {
	if len(zone) <= zoneFanOut || t.self.StoreHealthy || t.self.StoreUnanswered {
		return peers(zone)
	}
	place := sort.Search(len(zone), func(i int) bool { return zone[i].Box > t.self.Box })
	var to []string
	for range zoneFanOut {
		to = append(to, zone[(place+t.turn)%len(zone)].Peers)
		t.turn++
	}
	return to
}

// farTargets returns the next boxes of other zones, in an order of chance in
// which each comes once before any comes again. Drawn anew for each heartbeat,
// small zones would not be heard for SuspectFarAfter by chance alone.
func (t *Table) farTargets() []string {
	now := t.Now()
	var to []string
	for isNew := false; len(to) < farFanOut; {
		if len(t.queue) == 0 {
			if isNew {
				return to // there are no more
			}
			t.queue, isNew = t.farBoxes(now), true
			shuffle(t.queue, t.Random)
			continue
		}
		next := t.queue[0]
		t.queue = t.queue[1:]
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
		if e.zone != t.own && t.live(e, now) {
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

// takeRecent returns the boxes of the own zone and of others that were heard since
// the last heartbeat, in an order of chance, and the news.
func (t *Table) takeRecent() (near, others []*entry, news LivenessRecords) {
	for _, e := range t.recent {
		switch {
		case e.silent:
		case e.zone == t.own:
			near = append(near, e)
		default:
			others = append(others, e)
		}
		e.inRecent = false
	}
	t.recent = t.recent[:0]
	shuffle(near, t.Random)
	shuffle(others, t.Random)
	news = t.takeUpdates()
	return near[:min(len(near), maxOwnZoneRecords, maxLivenessRecords-minOtherZoneRecords-len(news))], others, news
}

// takeUpdates returns some of what is still to be told of boxes that fell silent, and
// then of boxes that came or came back.
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

// pick returns some of the list, drawn by chance.
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
