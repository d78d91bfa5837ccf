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

// clock is a clock that tests move.
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

// TestLimitBeginsChangesAndEnds with the server's answers.
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
	is.True(named && perSecond == 0) // it takes none
	c.advance(time.Second)
	sent := c.at
	c.advance(time.Second)
	l.ObserveAnswer(server, backend.RateLimit{}, false, sent)
	_, named = l.LimitOf(server.Incarnation())
	is.True(named) // one that was not run says nothing
	l.ObserveAnswer(server, backend.RateLimit{}, true, sent)
	_, named = l.LimitOf(server.Incarnation())
	is.True(!named)
	is.True(l.Empty())
	is.Equal(*changes, []string{"begun 2.7", "changed 0", "ended 0"})
}

// TestAnswersThatCross: an answer without a limit ends none of which the box heard after it had
// sent the request.
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
	is.True(named) // sent in the same moment
	l.ObserveAnswer(server, backend.RateLimit{}, true, c.at.Add(time.Millisecond))
	_, named = l.LimitOf(server.Incarnation())
	is.True(!named)
}

// TestAnotherLifeNamesNothing: what one life of a server has named does not hold for the next.
func TestAnotherLifeNamesNothing(t *testing.T) {
	is := is.New(t)
	l, c, changes := newTestTable()
	l.ObserveAnswer(server, rateLimit(3), true, c.at)
	again := *server
	again.StartedAtMs = 8
	_, named := l.LimitOf(again.Incarnation())
	is.True(!named)
	listed := func(life string) bool { return life == again.Incarnation() }
	l.Expire(listed, time.Minute)
	c.advance(time.Minute)
	l.Expire(listed, time.Minute)
	is.Equal(len(l.All()), 1) // it may only be missing from the list
	c.advance(time.Second)
	l.Expire(listed, time.Minute)
	is.Equal(len(l.All()), 0)
	is.True(l.Empty())
	is.Equal(*changes, []string{"begun 3", "forgotten 3"})
}

// TestChangesAreBroadcastTwiceAndNotTooOften: others are told of each change twice, and of a server
// that names another limit in each answer once a second.
func TestChangesAreBroadcastTwiceAndNotTooOften(t *testing.T) {
	is := is.New(t)
	l, c, _ := newTestTable()
	l.ObserveAnswer(server, rateLimit(3), true, c.at)
	is.Equal(len(l.Due()), 1)
	is.Equal(len(l.Due()), 0)
	c.advance(tellAgain)
	is.Equal(len(l.Due()), 1)
	c.advance(10 * time.Second)
	is.Equal(len(l.Due()), 0)
	l.ObserveAnswer(server, rateLimit(3), true, c.at)
	is.Equal(len(l.Due()), 0) // nothing has changed
	told := 0
	for i := range 100 {
		l.ObserveAnswer(server, rateLimit(float64(i)), true, c.at)
		told += len(l.Due())
		c.advance(100 * time.Millisecond)
	}
	is.True(told >= 10 && told <= 20)
	l.Merge(Record{Server: "i-2", HasLimit: true, PerSecond: 1, LimitVersion: 1})
	for _, r := range l.Due() {
		is.True(r.Server != "i-2") // who heard it first tells it
	}
}

// TestRestartedBoxIsBelieved: a box that has started since a limit ended counts from the beginning;
// it is told what others know, and then others hear it.
func TestRestartedBoxIsBelieved(t *testing.T) {
	is := is.New(t)
	c := &clock{at: time.Unix(1000, 0)}
	old, anew := NewTable(c.now), NewTable(c.now)
	old.Merge(Record{Server: server.Incarnation(), HasLimit: true, PerSecond: 3, LimitVersion: 3})
	old.Merge(Record{Server: server.Incarnation(), LimitVersion: 4})
	is.Equal(len(old.Due()), 0)
	anew.ObserveAnswer(server, rateLimit(2), true, c.at)
	for _, r := range anew.Due() {
		old.Merge(r)
	}
	is.True(old.Empty()) // what it knows is later, for all it can tell
	for _, r := range old.Due() {
		anew.Merge(r)
	}
	c.advance(minBroadcastInterval)
	anew.ObserveAnswer(server, rateLimit(2), true, c.at)
	for _, r := range anew.Due() {
		old.Merge(r)
	}
	perSecond, named := old.LimitOf(server.Incarnation())
	is.True(named && perSecond == 2)
}

// TestEndsAreSpreadForAWhile, and limits as long as they hold.
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

// TestMemoryIsBounded: servers that name no limit any more make room, others keep theirs.
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

// TestBoxesAgree: whatever boxes hear of a server and in whatever order they tell each other, they
// come to know the same; and what is told twice changes nothing.
func TestBoxesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &clock{at: time.Unix(1000, 0)}
		boxes := []*Table{NewTable(c.now), NewTable(c.now), NewTable(c.now)}
		var told []Record
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
				told = append(told, b.All()...)
				if len(told) > 0 {
					b.Merge(told[rapid.IntRange(0, len(told)-1).Draw(t, "record")])
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
				t.Fatal("one knows that it leaves and the other does not")
			}
			if b.Empty() != boxes[0].Empty() {
				t.Fatal("one is empty and the other is not")
			}
		}
	})
}

// TestLeavingHoldsForALife: whatever else the server says, and other boxes, which may know less; and not
// for another life.
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

// TestLeavingIsBroadcast: twice by who heard it, and spread for as long as the server is listed.
func TestLeavingIsBroadcast(t *testing.T) {
	is := is.New(t)
	l, c, _ := newTestTable()
	l.MarkLeaving(server)
	due := l.Due()
	is.Equal(len(due), 1)
	is.True(due[0].Leaving)
	c.advance(tellAgain)
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

// TestServersThatLeaveAreKeptInAFullTable: what makes room for others is a limit that has ended.
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

// TestMessagesRoundTrip, in as many packets as they need.
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

// TestInvalidLimitsAreIgnored: a datagram may hold any number.
func TestInvalidLimitsAreIgnored(t *testing.T) {
	is := is.New(t)
	l, _, _ := newTestTable()
	l.Merge(Record{Server: "i-1", HasLimit: true, PerSecond: math.NaN(), LimitVersion: 9})
	l.Merge(Record{Server: "i-1", HasLimit: true, PerSecond: -1, LimitVersion: 9})
	is.True(l.Empty())
}

// BenchmarkAnsweredWithoutLimits is what each answer costs on a day without limits.
func BenchmarkAnsweredWithoutLimits(b *testing.B) {
	t := NewTable(time.Now)
	at := time.Now()
	for b.Loop() {
		t.ObserveAnswer(server, backend.RateLimit{}, true, at)
	}
}

// BenchmarkOf is what each choice costs while 1,000 servers name limits.
func BenchmarkOf(b *testing.B) {
	t := NewTable(time.Now)
	for i := range 1000 {
		t.Merge(Record{Server: fmt.Sprint("j-", i), HasLimit: true, PerSecond: 1, LimitVersion: 1})
	}
	for b.Loop() {
		t.LimitOf("j-500")
	}
}
