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
)

// Receive takes in a message. It returns what its sender is to be told at once,
// and greetings for boxes of the own zone that were only heard of.
func (t *Table) Receive(m *Message) (answers []Message, greetings []Envelope) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.received = t.Now()
	isNew := t.take(&m.From, true)
	for i := range m.Others {
		r := &m.Others[i]
		if t.take(r, false) && r.Zone == t.self.Zone {
			greetings = append(greetings, Envelope{Message: t.from(), To: []string{r.Peers}})
		}
	}
	var unknown []uint32
	for _, s := range m.Seen {
		if !t.see(s) && len(unknown) < recordsAsked && t.mayAsk(s) {
			unknown = append(unknown, s.ID)
		}
	}
	if isNew {
		answer := t.from()
		answer.Seen = t.liveSightings(m.From.Zone)
		answers = append(answers, answer)
	}
	if len(unknown) > 0 {
		answer := t.from()
		answer.Ask = unknown
		answers = append(answers, answer)
	}
	answers = append(answers, t.records(m.Ask)...)
	if m.Probe && len(answers) == 0 {
		answers = append(answers, t.from())
	}
	return answers, greetings
}

// from returns a message that carries this box's own record, with a beat that
// counts as a heartbeat where it arrives.
func (t *Table) from() Message {
	t.self.Beat++
	return Message{From: t.self}
}

// take takes in a record, direct if it came from the box itself, and reports
// whether that life of the box was not known.
func (t *Table) take(r *Record, direct bool) (isNew bool) {
	if r.Box == "" || r.Box == t.self.Box {
		return false
	}
	old := t.members[r.Box]
	if old == nil {
		e := &entry{Record: *r, ID: r.id()}
		t.add(e)
		t.heard(e)
		t.Changed(*r, "seen")
		return true
	}
	if !t.accepts(r, old, direct) {
		return false
	}
	restarted := r.Started != old.Started
	versions := old.Versions
	old.Record = *r
	if !direct && !restarted {
		old.Versions = versions
	}
	if restarted {
		delete(t.ids, old.ID)
		old.ID = r.id()
		t.ids[old.ID] = old
	}
	t.heard(old)
	if old.silent || restarted {
		t.back(old)
	}
	return restarted
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

// see takes in what another box heard, and reports whether the box that it is
// of is known.
func (t *Table) see(s Sighting) (known bool) {
	e := t.ids[s.ID]
	if e == nil {
		own := t.self.id()
		return s.ID == own
	}
	if s.Flags&FlagSilent != 0 {
		t.toldSilent(e, s)
		return true
	}
	if uint64(s.Beat) <= e.Beat {
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
func (t *Table) toldSilent(e *entry, s Sighting) {
	if e.silent || e.Zone == t.self.Zone {
		return
	}
	if uint64(s.Beat) < e.Beat && t.Now().Sub(e.heard) < SuspectAfter {
		return
	}
	t.silence(e)
	e.tell = passSilent
}

// heard notes that a higher beat of a box has come.
func (t *Table) heard(e *entry) {
	e.heard = t.Now()
	e.risen = true
	t.zones[e.Zone] = e.heard
}

// back takes a box for live again.
func (t *Table) back(e *entry) {
	e.silent = false
	e.tell = 0
	t.Changed(e.Record, "back")
}

// mayAsk reports whether the record of an unknown box is to be asked for now.
func (t *Table) mayAsk(s Sighting) bool {
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
			messages = append(messages, t.from())
			last++
		}
		r := e.Record
		// What a box's mirrors hold is asked of that box itself.
		r.Versions = nil
		messages[last].Others = append(messages[last].Others, r)
	}
	return messages
}

// liveSightings returns the live boxes of a zone, and some of others, for a box
// of that zone that was not known.
func (t *Table) liveSightings(zone string) Sightings {
	now := t.Now()
	var near, far []*entry
	for _, e := range t.sorted {
		switch {
		case !t.live(e, now):
		case e.Zone == zone:
			near = append(near, e)
		default:
			far = append(far, e)
		}
	}
	return append(sightings(pick(near, greetedNear, t.Random)), sightings(pick(far, greetedFar, t.Random))...)
}

func sightings(list []*entry) Sightings {
	var out Sightings
	for _, e := range list {
		s := e.sighting()
		s.ID = e.ID
		out = append(out, s)
	}
	return out
}
