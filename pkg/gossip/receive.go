package gossip

import "time"

const (
	// recordsTogether bounds the records of one datagram, so that it fits one
	// packet of a link; recordsAsked bounds those asked for at once.
	recordsTogether = 8
	recordsAsked    = 48
	// askAgain is after what time a record that was asked for and did not come
	// is asked for again: a way between regions and back, and some.
	askAgain = 300 * time.Millisecond
	// greetedNear and greetedFar bound the sightings told to a box that was not
	// known: of its own zone, which it needs first, and of others.
	greetedNear = 128
	greetedFar  = 24
	// strayBeats is by how many beats what third zones pass on of a box that
	// was told as silent may be ahead of what its zone told: the last datagrams
	// of a box do not reach all of its zone.
	strayBeats = 3
)

// Receive takes in a message. It returns what its sender is to be told at once,
// and greetings for boxes of the own zone that were only heard of.
func (t *Table) Receive(m *Message) (answers []Message, greetings []Envelope) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.received = t.Now()
	isNew := t.applyRecord(&m.From, true)
	for i := range m.Others {
		r := &m.Others[i]
		if t.applyRecord(r, false) && r.Zone == t.self.Zone {
			greetings = append(greetings, Envelope{Message: t.newMessage(), To: []string{r.Peers}})
		}
	}
	var unknown []uint32
	for _, s := range m.Liveness {
		if !t.see(s, m.From.Zone) && len(unknown) < recordsAsked && t.mayAsk(s) {
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
	answers = append(answers, t.records(m.Ask)...)
	if m.Probe {
		answers = append(answers, t.newHeartbeat())
	}
	return answers, greetings
}

// newMessage returns a message that carries this box's own record, with spans of time as of now.
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

// newHeartbeat is the same with a beat that counts as a heartbeat where it arrives.
// It goes to the own zone at least: no other zone may know a higher beat of a
// box that ends than its own, which tells that it is silent.
func (t *Table) newHeartbeat() Message {
	t.self.Sequence++
	return t.newMessage()
}

// applyRecord takes in a record, direct if it came from the box itself, and reports
// whether that life of the box was not known, or was taken for silent.
func (t *Table) applyRecord(r *Record, direct bool) (isNew bool) {
	if r.Box == "" || r.Box == t.self.Box {
		return false
	}
	old := t.members[r.Box]
	if old == nil {
		e := &entry{Record: *r, ID: r.id()}
		t.add(e)
		t.announceLive(e)
		t.heard(e)
		t.OnChange(*r, "seen")
		return true
	}
	if !t.accepts(r, old, direct) {
		return false
	}
	restarted := r.Started != old.Started
	versions := old.Versions
	old.Record = *r
	t.settle(old)
	if !direct && !restarted {
		old.Versions = versions
	}
	if restarted {
		delete(t.ids, old.ID)
		old.ID = r.id()
		t.ids[old.ID] = old
	}
	t.heard(old)
	returned := old.silent || restarted
	if returned {
		t.back(old)
	}
	return returned
}

// accepts reports whether the record replaces what is known. What a box says
// itself of a new life counts even if its clock was set back in between, and
// so does what others say once the life that is known has fallen silent.
func (t *Table) accepts(r *Record, old *entry, direct bool) bool {
	if r.newer(&old.Record) {
		return true
	}
	return r.Started != old.Started && (direct || old.silent || t.Now().Sub(old.heard) > SuspectFarAfter)
}

// see takes in what a box of a zone heard, and reports whether the box that it
// is of is known. Of its own zone a box believes its own zone alone: what others
// say is older than what is heard here, and would delay that a silence is noticed.
func (t *Table) see(s LivenessRecord, zone string) (known bool) {
	e := t.ids[s.ID]
	if e == nil {
		return s.ID == t.self.id()
	}
	if e.Zone == t.self.Zone && zone != e.Zone {
		return true
	}
	if s.Flags&FlagSilent != 0 {
		t.toldSilent(e, s)
		return true
	}
	least := e.Sequence + 1
	if e.silent && zone != e.Zone {
		least += strayBeats
	}
	if uint64(s.Sequence) < least {
		return true
	}
	e.apply(s)
	t.heard(e)
	if e.silent {
		t.back(e)
	}
	return true
}

// toldSilent takes a box of another zone for silent since its own zone does,
// unless something newer was heard of it, or it was heard a moment ago.
func (t *Table) toldSilent(e *entry, s LivenessRecord) {
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
	// What others heard of it before that is no sign of life.
	e.Sequence = max(e.Sequence, uint64(s.Sequence))
	t.silence(e)
	t.setUpdatesLeft(e, silentForwards)
}

// heard notes that a higher beat of a box has come.
func (t *Table) heard(e *entry) {
	e.heard = t.Now()
	if !e.inRecent {
		e.inRecent = true
		t.recent = append(t.recent, e)
	}
	if e.Serving {
		e.served = e.heard
	}
	e.zone.heard = e.heard
}

// back takes a box for live again.
func (t *Table) back(e *entry) {
	e.silent = false
	t.announceLive(e)
	t.OnChange(e.Record, "back")
}

// announceLive makes it news that a box of this zone is there. Of others their own
// zones tell, and a silence that was told ends.
func (t *Table) announceLive(e *entry) {
	beats := 0
	if e.zone == t.own {
		beats = liveRepeats
	}
	t.setUpdatesLeft(e, beats)
}

// mayAsk reports whether the record of an unknown box is to be asked for now.
func (t *Table) mayAsk(s LivenessRecord) bool {
	now := t.Now()
	if s.Flags&FlagSilent != 0 || now.Sub(t.asked[s.ID]) < askAgain {
		return false
	}
	t.asked[s.ID] = now
	return true
}

// records returns the records of the IDs, in parts that fit datagrams.
func (t *Table) records(ids []uint32) []Message {
	var messages []Message
	for _, id := range ids[:min(len(ids), recordsAsked)] {
		e := t.ids[id]
		if e == nil {
			continue
		}
		last := len(messages) - 1
		if last < 0 || len(messages[last].Others) == recordsTogether {
			messages = append(messages, t.newMessage())
			last++
		}
		r := e.Record
		// What a box's mirrors hold is asked of that box itself.
		r.Versions = nil
		messages[last].Others = append(messages[last].Others, r)
	}
	return messages
}

// introduction returns the live boxes of a zone, and some of this box's own, for
// a box of that zone that was not known or has come back.
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
	far := append(pick(own, greetedFar, t.Random), pick(others, greetedFar, t.Random)...)
	return append(livenessRecords(pick(near, greetedNear, t.Random)), livenessRecords(far[:min(len(far), greetedFar)])...)
}

func livenessRecords(list []*entry) LivenessRecords {
	var out LivenessRecords
	for _, e := range list {
		out = append(out, e.currentLiveness())
	}
	return out
}
