package gossip

import (
	"time"

	"github.com/stoneworks/stoneworks/pkg/utilization"
)

const (
	// maxRecords bounds the records in one datagram, so that it fits into one packet;
	// maxRequested bounds the records requested at once.
	maxRecords   = 8
	maxRequested = 48
	// requestAgainAfter is the time after which a record that was requested and did not arrive
	// is requested again: somewhat more than a round trip between regions.
	requestAgainAfter = 300 * time.Millisecond
	// maxIntroducedOwnZone and maxIntroducedOther bound the liveness records that a box that
	// was not known is sent: of its own zone, which it needs first, and of others.
	maxIntroducedOwnZone = 128
	maxIntroducedOther   = 24
	// lateHeartbeats is by how many sequence numbers a liveness record forwarded by a third
	// zone may be ahead of what a box's own zone reported with its silence: the last datagrams
	// of a box do not reach all of its zone.
	lateHeartbeats = 3
)

// Receive processes a message. It returns answers, which are to be sent to the sender at once,
// and greetings to boxes of the own zone that were only heard of.
func (t *Table) Receive(m *Message) (answers []Message, greetings []Envelope) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastReceived = t.Now()
	isNew := t.applyRecord(&m.From, true)
	for i := range m.Others {
		r := &m.Others[i]
		if t.applyRecord(r, false) && r.Zone == t.self.Zone {
			greetings = append(greetings, Envelope{Message: t.newMessage(), To: []string{r.Peers}})
		}
	}
	var unknown []uint32
	for _, s := range m.Liveness {
		if !t.applyLiveness(s, m.From.Zone) && len(unknown) < maxRequested && t.mayRequest(s) {
			unknown = append(unknown, s.ID)
		}
	}
	if isNew {
		answer := t.newMessage()
		answer.Liveness = t.introduction(m.From.Zone)
		answers = append(answers, answer)
	}
	if len(unknown) > 0 {
		answer := t.newMessage()
		answer.Ask = unknown
		answers = append(answers, answer)
	}
	answers = append(answers, t.recordsFor(m.Ask)...)
	if m.Probe {
		answers = append(answers, t.newHeartbeat())
	}
	return answers, greetings
}

// newMessage returns a message that carries this box's own record, with its durations as of
// now.
func (t *Table) newMessage() Message {
	r := t.self
	since := uint32(t.Now().Sub(t.updated).Milliseconds())
	for _, ago := range []*uint32{&r.ConfirmedAgo, &r.ListConfirmedAgo} {
		if *ago > 0 {
			*ago += since
		}
	}
	return Message{From: r}
}

// newHeartbeat returns a message with a new sequence number, so that it counts as a heartbeat
// for its receivers. It must go to the own zone at least: when a box ends, no other zone may
// know a higher sequence number than its own zone, which reports it silent.
func (t *Table) newHeartbeat() Message {
	t.self.Sequence++
	return t.newMessage()
}

// applyRecord applies a record; direct says that it came from the box itself. It reports
// whether the box or this incarnation of it was not known, or was considered silent.
func (t *Table) applyRecord(r *Record, direct bool) (isNew bool) {
	if r.Box == "" || r.Box == t.self.Box {
		return false
	}
	// A level that this version does not know is taken for the highest.
	r.Use = min(r.Use, utilization.Full)
	old := t.members[r.Box]
	if old == nil {
		e := &entry{Record: *r, ID: r.id()}
		t.add(e)
		t.announceLive(e)
		t.markKnown(e, direct)
		t.OnChange(*r, "seen")
		return true
	}
	if !t.accepts(r, old, direct) {
		return false
	}
	restarted := r.Started != old.Started
	versions, placed := old.Versions, old.placement()
	old.Record = *r
	t.noteIfPlaced(placed, r)
	t.setZone(old)
	if !direct && !restarted {
		old.Versions = versions
	}
	if restarted {
		delete(t.ids, old.ID)
		old.ID = r.id()
		t.ids[old.ID] = old
	}
	if restarted {
		t.markKnown(old, direct)
	} else {
		t.markHeard(old)
	}
	returned := old.silent || restarted
	if returned {
		t.markLive(old)
	}
	return returned
}

// accepts reports whether the record replaces the known one. A box's own record of a new
// incarnation counts even if the box's clock was set back in between, and so does one that
// others forward once the known incarnation has fallen silent.
func (t *Table) accepts(r *Record, old *entry, direct bool) bool {
	if r.newer(&old.Record) {
		return true
	}
	return r.Started != old.Started && (direct || old.silent || t.Now().Sub(old.heard) > SuspectFarAfter)
}

// applyLiveness applies a liveness record sent by a box of the given zone, and reports whether
// the box it is about is known. About its own zone a box accepts records from its own zone
// only: those of others are older than what is heard here, and would delay the detection of a
// silent box.
func (t *Table) applyLiveness(s LivenessRecord, zone string) (known bool) {
	e := t.ids[s.ID]
	if e == nil {
		return s.ID == t.self.id()
	}
	if e.Zone == t.self.Zone && zone != e.Zone {
		return true
	}
	if s.Flags&FlagSilent != 0 {
		t.applySilence(e, s)
		return true
	}
	least := e.Sequence + 1
	if e.silent && zone != e.Zone {
		least += lateHeartbeats
	}
	if uint64(s.Sequence) < least {
		return true
	}
	placed := e.placement()
	e.apply(s)
	t.noteIfPlaced(placed, &e.Record)
	t.markHeard(e)
	if e.silent {
		t.markLive(e)
	}
	return true
}

// applySilence marks a box of another zone as silent because its own zone reports it so,
// unless something newer is known of it and it was heard of within SuspectAfter.
func (t *Table) applySilence(e *entry, s LivenessRecord) {
	if e.Zone == t.self.Zone {
		return
	}
	if e.silent {
		e.Sequence = max(e.Sequence, uint64(s.Sequence))
		return
	}
	if uint64(s.Sequence) < e.Sequence && t.Now().Sub(e.heard) < SuspectAfter {
		return
	}
	// Liveness records up to this sequence number are no sign of life.
	e.Sequence = max(e.Sequence, uint64(s.Sequence))
	t.markSilent(e)
	t.setUpdatesLeft(e, silentForwards)
}

// markKnown notes that an incarnation of a box has become known. A box of the own zone that was
// only heard of may have ended long before. It is greeted at once and probed after that, so it is
// suspected sooner than one that falls silent; otherwise restarts of this box would keep a dead one
// from being reported.
func (t *Table) markKnown(e *entry, direct bool) {
	if direct || e.zone != t.ownZone {
		t.markHeard(e)
		return
	}
	t.markHeardAt(e, t.Now().Add(knownTime-SuspectAfter))
}

// markHeard notes that a higher sequence number of a box has arrived.
func (t *Table) markHeard(e *entry) { t.markHeardAt(e, t.Now()) }

func (t *Table) markHeardAt(e *entry, at time.Time) {
	e.heard = at
	if !e.inRecent {
		e.inRecent = true
		t.recent = append(t.recent, e)
	}
	if e.Serving {
		e.servingHeard = e.heard
	}
	if e.heard.After(e.zone.heard) {
		e.zone.heard = e.heard
	}
}

// markLive marks a box as live again.
func (t *Table) markLive(e *entry) {
	e.silent = false
	t.generation++
	t.announceLive(e)
	t.OnChange(e.Record, "back")
}

// announceLive queues the update that a box of this zone is live. For boxes of other zones it
// ends a pending update, such as a silence: their own zones announce them.
func (t *Table) announceLive(e *entry) {
	beats := 0
	if e.zone == t.ownZone {
		beats = liveRepeats
	}
	t.setUpdatesLeft(e, beats)
}

// mayRequest reports whether the record of an unknown box is to be requested now, and notes
// the request.
func (t *Table) mayRequest(s LivenessRecord) bool {
	now := t.Now()
	if s.Flags&FlagSilent != 0 || now.Sub(t.requested[s.ID]) < requestAgainAfter {
		return false
	}
	t.requested[s.ID] = now
	return true
}

// recordsFor returns messages with the records of the IDs, each small enough for a datagram.
func (t *Table) recordsFor(ids []uint32) []Message {
	var messages []Message
	for _, id := range ids[:min(len(ids), maxRequested)] {
		e := t.ids[id]
		if e == nil {
			continue
		}
		last := len(messages) - 1
		if last < 0 || len(messages[last].Others) == maxRecords {
			messages = append(messages, t.newMessage())
			last++
		}
		r := e.Record
		// What a box's mirrors hold is requested from that box itself.
		r.Versions = nil
		messages[last].Others = append(messages[last].Others, r)
	}
	return messages
}

// introduction returns liveness records of the live boxes of a zone, and of some others, first
// of this box's own zone, for a box of that zone that was not known or has come back.
func (t *Table) introduction(zone string) LivenessRecords {
	now := t.Now()
	var near, own, others []*entry
	for _, e := range t.sorted {
		switch {
		case !t.live(e, now):
		case e.Zone == zone:
			near = append(near, e)
		case e.Zone == t.self.Zone:
			own = append(own, e)
		default:
			others = append(others, e)
		}
	}
	far := append(pick(own, maxIntroducedOther, t.Random), pick(others, maxIntroducedOther, t.Random)...)
	return append(livenessRecords(pick(near, maxIntroducedOwnZone, t.Random)), livenessRecords(far[:min(len(far), maxIntroducedOther)])...)
}

func livenessRecords(list []*entry) LivenessRecords {
	var out LivenessRecords
	for _, e := range list {
		out = append(out, e.currentLiveness())
	}
	return out
}
