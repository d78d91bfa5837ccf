package serverstatus

import (
	"errors"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/stoneworks/stoneworks/pkg/backend"
	"github.com/stoneworks/stoneworks/pkg/packet"
)

// clock is a clock that tests advance.
type clock struct{ at time.Time }

func (c *clock) now() time.Time          { return c.at }
func (c *clock) advance(d time.Duration) { c.at = c.at.Add(d) }

var server = &backend.Server{ID: "i-1", Zone: "east-a", StartedAtMs: 7}

func newTestTable() (*Table, *clock, *[]string) {
	c := &clock{at: time.Unix(1000, 0)}
	t := NewTable(c.now)
	var changes []string
	t.OnChange = func(r Record, what Change) { changes = append(changes, fmt.Sprint(what, " ", r.PerSecond)) }
	return t, c, &changes
}

func rateLimit(perSecond float64) backend.RateLimit {
	return backend.RateLimit{Present: true, PerSecond: perSecond}
}

// TestLimitBeginsChangesAndEnds: a limit follows what the server's answers name.
func TestLimitBeginsChangesAndEnds(t *testing.T) {
	is := is.New(t)
	l, c, changes := newTestTable()
	is.True(l.Empty())
	l.ObserveAnswer(server, backend.RateLimit{}, true, c.at)
	_, named := l.LimitOf(server.Incarnation())
	is.True(!named)
	l.ObserveAnswer(server, rateLimit(2.7), true, c.at)
	l.ObserveAnswer(server, rateLimit(2.7), true, c.at)
	perSecond, named := l.LimitOf(server.Incarnation())
	is.True(named)
	is.Equal(perSecond, 2.7)
	is.True(!l.Empty())
	l.ObserveAnswer(server, rateLimit(0), true, c.at)
	perSecond, named = l.LimitOf(server.Incarnation())
	is.True(named && perSecond == 0) // it accepts no requests
	c.advance(time.Second)
	sent := c.at
	c.advance(time.Second)
	l.ObserveAnswer(server, backend.RateLimit{}, false, sent)
	_, named = l.LimitOf(server.Incarnation())
	is.True(named) // the answer to a request that was not run does not end a limit
	l.ObserveAnswer(server, backend.RateLimit{}, true, sent)
	_, named = l.LimitOf(server.Incarnation())
	is.True(!named)
	is.True(l.Empty())
	is.Equal(*changes, []string{"begun 2.7", "changed 0", "ended 0"})
}

// TestAnswersThatCross: an answer without a limit does not end a limit that the box learnt of
// after it had sent the request.
func TestAnswersThatCross(t *testing.T) {
	is := is.New(t)
	l, c, _ := newTestTable()
	sent := c.at
	c.advance(100 * time.Millisecond)
	l.ObserveAnswer(server, rateLimit(3), true, sent)
	l.ObserveAnswer(server, backend.RateLimit{}, true, sent)
	_, named := l.LimitOf(server.Incarnation())
	is.True(named)
	l.ObserveAnswer(server, backend.RateLimit{}, true, c.at)
	_, named = l.LimitOf(server.Incarnation())
	is.True(named) // sent at the same moment
	l.ObserveAnswer(server, backend.RateLimit{}, true, c.at.Add(time.Millisecond))
	_, named = l.LimitOf(server.Incarnation())
	is.True(!named)
}

// TestAnotherLifeNamesNothing: the limit that one incarnation of a server has named does not
// hold for the next.
func TestAnotherLifeNamesNothing(t *testing.T) {
	is := is.New(t)
	l, c, changes := newTestTable()
	l.ObserveAnswer(server, rateLimit(3), true, c.at)
	again := *server
	again.StartedAtMs = 8
	_, named := l.LimitOf(again.Incarnation())
	is.True(!named)
	listed := func(incarnation string) bool { return incarnation == again.Incarnation() }
	l.Expire(listed, time.Minute)
	c.advance(time.Minute)
	l.Expire(listed, time.Minute)
	is.Equal(len(l.All()), 1) // it may be missing from the list only for a while
	c.advance(time.Second)
	l.Expire(listed, time.Minute)
	is.Equal(len(l.All()), 0)
	is.True(l.Empty())
	is.Equal(*changes, []string{"begun 3", "forgotten 3"})
}

// TestChangesAreBroadcastTwiceAndNotTooOften: each change is broadcast twice. Changes of a
// server that names another limit in each answer are broadcast once a second.
func TestChangesAreBroadcastTwiceAndNotTooOften(t *testing.T) {
	is := is.New(t)
	l, c, _ := newTestTable()
	l.ObserveAnswer(server, rateLimit(3), true, c.at)
	is.Equal(len(l.Due()), 1)
	is.Equal(len(l.Due()), 0)
	c.advance(rebroadcastDelay)
	is.Equal(len(l.Due()), 1)
	c.advance(10 * time.Second)
	is.Equal(len(l.Due()), 0)
	l.ObserveAnswer(server, rateLimit(3), true, c.at)
	is.Equal(len(l.Due()), 0) // nothing has changed
	broadcasts := 0
	for i := range 100 {
		l.ObserveAnswer(server, rateLimit(float64(i)), true, c.at)
		broadcasts += len(l.Due())
		c.advance(100 * time.Millisecond)
	}
	is.True(broadcasts >= 10 && broadcasts <= 20)
	l.Merge(Record{Server: "i-2", HasLimit: true, PerSecond: 1, LimitVersion: 1})
	for _, r := range l.Due() {
		is.True(r.Server != "i-2") // only the box that got the answer broadcasts it
	}
}

// TestRestartedBoxIsBelieved: a box that has started since a limit ended counts versions from
// the beginning. It is sent what others know; after that, others accept its next change.
func TestRestartedBoxIsBelieved(t *testing.T) {
	is := is.New(t)
	c := &clock{at: time.Unix(1000, 0)}
	old, restarted := NewTable(c.now), NewTable(c.now)
	old.Merge(Record{Server: server.Incarnation(), HasLimit: true, PerSecond: 3, LimitVersion: 3})
	old.Merge(Record{Server: server.Incarnation(), LimitVersion: 4})
	is.Equal(len(old.Due()), 0)
	restarted.ObserveAnswer(server, rateLimit(2), true, c.at)
	for _, r := range restarted.Due() {
		old.Merge(r)
	}
	is.True(old.Empty()) // its own record has the higher version
	for _, r := range old.Due() {
		restarted.Merge(r)
	}
	c.advance(minBroadcastInterval)
	restarted.ObserveAnswer(server, rateLimit(2), true, c.at)
	for _, r := range restarted.Due() {
		old.Merge(r)
	}
	perSecond, named := old.LimitOf(server.Incarnation())
	is.True(named && perSecond == 2)
}

// TestEndsAreSpreadForAWhile: Active returns the end of a limit for the given time, and a
// limit as long as it holds.
func TestEndsAreSpreadForAWhile(t *testing.T) {
	is := is.New(t)
	l, c, _ := newTestTable()
	l.Merge(Record{Server: "i-1", HasLimit: true, PerSecond: 3, LimitVersion: 1})
	l.Merge(Record{Server: "i-2", LimitVersion: 2})
	is.Equal(len(l.Active(time.Minute)), 2)
	c.advance(time.Minute)
	is.Equal(len(l.Active(time.Minute)), 1)
	is.Equal(len(l.All()), 2)
}

// TestMemoryIsBounded: in a full table, records of servers that no longer name a limit are
// dropped first; the others are kept.
func TestMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	l, c, _ := newTestTable()
	l.ObserveAnswer(server, rateLimit(3), true, c.at)
	l.ObserveAnswer(server, backend.RateLimit{}, true, c.at.Add(time.Millisecond))
	for i := range maxRecords + 10 {
		l.Merge(Record{Server: fmt.Sprint("j-", i), HasLimit: true, PerSecond: 1, LimitVersion: 1})
	}
	is.Equal(len(l.All()), maxRecords)
	_, named := l.LimitOf("j-0")
	is.True(named)
}

// TestBoxesAgree: whatever boxes observe of a server, and in whatever order they send it to
// each other, they end with the same records. Merging a record twice changes nothing.
func TestBoxesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &clock{at: time.Unix(1000, 0)}
		boxes := []*Table{NewTable(c.now), NewTable(c.now), NewTable(c.now)}
		var sent []Record
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			c.advance(time.Duration(rapid.IntRange(0, 50).Draw(t, "pause")) * time.Millisecond)
			b := boxes[rapid.IntRange(0, 2).Draw(t, "box")]
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 3:
				b.MarkLeaving(server)
			case 0:
				b.ObserveAnswer(server, rateLimit(float64(rapid.IntRange(0, 3).Draw(t, "limit"))), true, c.at)
			case 1:
				ago := time.Duration(rapid.IntRange(0, 100).Draw(t, "ago")) * time.Millisecond
				b.ObserveAnswer(server, backend.RateLimit{}, rapid.Bool().Draw(t, "ran"), c.at.Add(-ago))
			case 2:
				sent = append(sent, b.All()...)
				if len(sent) > 0 {
					b.Merge(sent[rapid.IntRange(0, len(sent)-1).Draw(t, "record")])
				}
			}
		}
		for range 2 {
			for _, from := range boxes {
				for _, r := range from.All() {
					for _, to := range boxes {
						to.Merge(r)
						to.Merge(r)
					}
				}
			}
		}
		for _, b := range boxes[1:] {
			if fmt.Sprint(b.All()) != fmt.Sprint(boxes[0].All()) {
				t.Fatalf("%v and %v", b.All(), boxes[0].All())
			}
			if b.IsLeaving(server.Incarnation()) != boxes[0].IsLeaving(server.Incarnation()) {
				t.Fatal("one box knows that the server leaves and another does not")
			}
			if b.Empty() != boxes[0].Empty() {
				t.Fatal("one table is empty and another is not")
			}
		}
	})
}

// TestLeavingHoldsForALife: that a server leaves holds for its incarnation, whatever else the
// server reports or boxes send that know less. It does not hold for another incarnation.
func TestLeavingHoldsForALife(t *testing.T) {
	is := is.New(t)
	l, c, changes := newTestTable()
	is.True(!l.IsLeaving(server.Incarnation()))
	l.MarkLeaving(server)
	l.MarkLeaving(server)
	is.True(l.IsLeaving(server.Incarnation()))
	is.True(l.Empty()) // it names no limit
	l.ObserveAnswer(server, rateLimit(3), true, c.at)
	c.advance(time.Second)
	l.ObserveAnswer(server, backend.RateLimit{}, true, c.at)
	l.Merge(Record{Server: server.Incarnation(), LimitVersion: 9})
	is.True(l.IsLeaving(server.Incarnation()))
	again := *server
	again.StartedAtMs = 8
	is.True(!l.IsLeaving(again.Incarnation()))
	listed := func(string) bool { return false }
	l.Expire(listed, time.Minute)
	c.advance(time.Minute + time.Second)
	l.Expire(listed, time.Minute)
	is.True(!l.IsLeaving(server.Incarnation()))
	is.Equal(*changes, []string{"leaves 0", "begun 3", "ended 0", "forgotten 0"})
}

// TestLeavingIsBroadcast: the box that got the answer broadcasts it twice, and all boxes
// spread it for as long as the server is listed.
func TestLeavingIsBroadcast(t *testing.T) {
	is := is.New(t)
	l, c, _ := newTestTable()
	l.MarkLeaving(server)
	due := l.Due()
	is.Equal(len(due), 1)
	is.True(due[0].Leaving)
	c.advance(rebroadcastDelay)
	is.Equal(len(l.Due()), 1)
	c.advance(time.Hour)
	is.Equal(len(l.Due()), 0)
	is.Equal(len(l.Active(time.Minute)), 1)
	other := NewTable(c.now)
	other.Merge(due[0])
	is.True(other.IsLeaving(server.Incarnation()))
	is.Equal(len(other.Due()), 0)
	is.Equal(len(other.Active(time.Minute)), 1)
}

// TestServersThatLeaveAreKeptInAFullTable: only records of limits that have ended are dropped
// for others.
func TestServersThatLeaveAreKeptInAFullTable(t *testing.T) {
	is := is.New(t)
	l, _, _ := newTestTable()
	l.MarkLeaving(server)
	for i := range maxRecords + 10 {
		l.Merge(Record{Server: fmt.Sprint("j-", i), LimitVersion: 1})
	}
	is.True(l.IsLeaving(server.Incarnation()))
	is.Equal(len(l.All()), maxRecords)
}

// TestMessagesRoundTrip: records survive encoding and decoding, in as many packets as they
// need.
func TestMessagesRoundTrip(t *testing.T) {
	is := is.New(t)
	var records []Record
	for i := range 50 {
		records = append(records, Record{Server: fmt.Sprintf("i-%010d@1780457620123", i), Zone: "ths-sud", HasLimit: true, PerSecond: 2.7, LimitVersion: uint32(i), Leaving: i%2 == 0})
	}
	var back []Record
	for _, m := range Messages("edge-stl-sor-1", records) {
		datagram, err := Wire.Encode(&m)
		is.NoErr(err)
		is.True(len(datagram) < 1400)
		read, err := Wire.Decode(datagram)
		is.NoErr(err)
		back = append(back, read.Records...)
	}
	is.Equal(back, records)
	for _, datagram := range [][]byte{nil, {}, {2, 0x92}, {wireVersion}, {wireVersion, 0xff}} {
		_, err := Wire.Decode(datagram)
		var wire *packet.Error
		is.True(errors.As(err, &wire))
	}
}

// TestInvalidLimitsAreIgnored: a datagram may contain any number, also NaN or a negative one.
func TestInvalidLimitsAreIgnored(t *testing.T) {
	is := is.New(t)
	l, _, _ := newTestTable()
	l.Merge(Record{Server: "i-1", HasLimit: true, PerSecond: math.NaN(), LimitVersion: 9})
	l.Merge(Record{Server: "i-1", HasLimit: true, PerSecond: -1, LimitVersion: 9})
	is.True(l.Empty())
}

// BenchmarkAnsweredWithoutLimits measures the cost per answer while there are no limits.
func BenchmarkAnsweredWithoutLimits(b *testing.B) {
	t := NewTable(time.Now)
	at := time.Now()
	for b.Loop() {
		t.ObserveAnswer(server, backend.RateLimit{}, true, at)
	}
}

// BenchmarkOf measures the cost per choice of a server while 1,000 servers name limits.
func BenchmarkOf(b *testing.B) {
	t := NewTable(time.Now)
	for i := range 1000 {
		t.Merge(Record{Server: fmt.Sprint("j-", i), HasLimit: true, PerSecond: 1, LimitVersion: 1})
	}
	for b.Loop() {
		t.LimitOf("j-500")
	}
}
