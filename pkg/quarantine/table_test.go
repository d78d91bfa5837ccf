package quarantine

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/stoneworks/stoneworks/pkg/packet"
)

// clock is a clock that tests advance.
type clock struct{ now time.Time }

func (c *clock) Now() time.Time { return c.now }

func (c *clock) advance(d time.Duration) { c.now = c.now.Add(d) }

var testConfig = Config{Crashes: 3, Hold: time.Minute}

func newTable(c *clock) *Table {
	return NewTable(func() Config { return testConfig }, c.Now)
}

func newClock() *clock { return &clock{now: time.Unix(1000, 0)} }

func held(t *Table, f Fingerprint) bool {
	_, held := t.Held(f)
	return held
}

// TestRequestIsHeldAfterCrashes: only crashes of distinct servers under the same request
// count.
func TestRequestIsHeldAfterCrashes(t *testing.T) {
	is := is.New(t)
	table := newTable(newClock())
	is.True(table.Empty())
	for range 5 {
		table.ObserveCrash(1, "i-1")
	}
	table.ObserveCrash(1, "i-2")
	table.ObserveCrash(2, "i-3")
	is.True(!held(table, 1))
	is.True(table.Suspected(1))
	is.True(!table.Suspected(3))
	table.ObserveCrash(1, "i-3")
	left, isHeld := table.Held(1)
	is.True(isHeld)
	is.Equal(left, testConfig.Hold)
	is.True(!held(table, 2))
}

// TestAnsweredRequestIsClear: a request that was at servers that crashed under another request
// is answered sooner or later. After that no crash counts against it, at any box.
func TestAnsweredRequestIsClear(t *testing.T) {
	is := is.New(t)
	c := newClock()
	here, there := newTable(c), newTable(c)
	for _, server := range []string{"i-1", "i-2", "i-3"} {
		here.ObserveCrash(1, server)
	}
	exchange(here, there)
	is.True(held(there, 1))
	there.ObserveAnswer(1) // an attempt that was still in flight
	is.True(!held(there, 1))
	is.True(!there.Suspected(1))
	exchange(there, here)
	is.True(!held(here, 1))
	// The same crashes no longer count when a box that does not know of the answer sends them.
	there.Merge(Record{Request: 1, Crashed: []string{"i-3"}, Remaining: time.Second})
	is.True(!there.Suspected(1))
	here.ObserveCrash(1, "i-4")
	is.True(here.Suspected(1))
	is.True(!held(here, 1))
}

// exchange merges the records that one table has to broadcast into the other.
func exchange(from, to *Table) {
	for _, r := range from.Due() {
		to.Merge(r)
	}
}

// TestHoldEndsAtAllBoxes: boxes that send each other a hold do not prolong it, and one more
// crash after its end holds the request for twice as long.
func TestHoldEndsAtAllBoxes(t *testing.T) {
	is := is.New(t)
	c := newClock()
	a, b := newTable(c), newTable(c)
	for _, server := range []string{"i-1", "i-2", "i-3"} {
		a.ObserveCrash(1, server)
	}
	spread := func(from, to *Table) {
		records := from.Holds()
		c.advance(20 * time.Millisecond) // in flight
		for _, r := range records {
			to.Merge(r)
		}
	}
	for range 30 {
		spread(a, b)
		spread(b, a)
		c.advance(2 * time.Second)
	}
	c.advance(100 * time.Millisecond)
	is.True(!held(a, 1))
	is.True(!held(b, 1))
	is.True(a.Suspected(1))
	a.ObserveCrash(1, "i-4")
	left, isHeld := a.Held(1)
	is.True(isHeld)
	is.Equal(left, 2*testConfig.Hold)
	c.advance(3*testConfig.Hold + time.Second)
	a.Expire()
	is.True(a.Empty())
}

// TestChangesAreBroadcastTwice: the second datagram makes up for the loss of the first.
func TestChangesAreBroadcastTwice(t *testing.T) {
	is := is.New(t)
	c := newClock()
	table := newTable(c)
	table.ObserveCrash(1, "i-1")
	is.Equal(len(table.Due()), 1)
	is.Equal(len(table.Due()), 0)
	c.advance(rebroadcastDelay)
	is.Equal(len(table.Due()), 1)
	c.advance(rebroadcastDelay)
	is.Equal(len(table.Due()), 0)
	table.Merge(Record{Request: 2, Crashed: []string{"i-1"}})
	is.Equal(len(table.Due()), 0) // a box does not forward the records of others
}

// TestMemoryIsBounded: in a full table, records of requests that are not held are dropped,
// oldest first; those of held requests are kept.
func TestMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	c := newClock()
	table := newTable(c)
	for i := range maxServers + 3 {
		table.ObserveCrash(1, fmt.Sprint("i-", i))
	}
	for i := range 3 * maxRecords {
		c.advance(time.Millisecond)
		table.ObserveCrash(Fingerprint(2+i), "i-1")
	}
	is.Equal(len(table.records), maxRecords)
	is.Equal(len(table.records[1].crashed), maxServers)
	is.True(held(table, 1))
	is.True(!table.Suspected(2))
	is.True(table.Suspected(Fingerprint(1 + 3*maxRecords)))
	for i := range 2 * maxRecords {
		for _, server := range []string{"i-1", "i-2", "i-3"} {
			table.ObserveCrash(Fingerprint(10_000+i), server)
		}
	}
	is.Equal(len(table.records), maxRecords)
	is.True(held(table, 1))
}

// TestBoxesAgree: whatever crashes and answers boxes see, and whatever datagrams are lost,
// duplicated or late, boxes that have sent each other their records all hold the same
// requests.
func TestBoxesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newClock()
		tables := make([]*Table, rapid.IntRange(2, 5).Draw(t, "boxes"))
		for i := range tables {
			tables[i] = newTable(c)
		}
		box := rapid.IntRange(0, len(tables)-1)
		request := rapid.Custom(func(t *rapid.T) Fingerprint { return Fingerprint(rapid.IntRange(1, 3).Draw(t, "request")) })
		var late []Record
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			at := tables[box.Draw(t, "at")]
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				at.ObserveCrash(request.Draw(t, "f"), fmt.Sprint("i-", rapid.IntRange(1, 5).Draw(t, "server")))
			case 1:
				at.ObserveAnswer(request.Draw(t, "f"))
			case 2:
				late = append(late, at.Due()...)
				c.advance(rebroadcastDelay)
			case 3:
				if len(late) > 0 {
					at.Merge(late[rapid.IntRange(0, len(late)-1).Draw(t, "datagram")])
				}
			}
		}
		for range len(tables) {
			for _, from := range tables {
				for f, r := range from.records {
					for _, to := range tables {
						if to != from {
							to.Merge(r.export(f, c.now))
						}
					}
				}
			}
		}
		for f := Fingerprint(1); f <= 3; f++ {
			for _, table := range tables {
				if held(table, f) != held(tables[0], f) || table.Suspected(f) != tables[0].Suspected(f) {
					t.Fatalf("boxes do not agree on %v", f)
				}
			}
		}
	})
}

func TestMessagesRoundTrip(t *testing.T) {
	is := is.New(t)
	var records []Record
	for i := range 60 {
		r := Record{Request: Fingerprint(i), Remaining: time.Second}
		for k := range i % (maxServers + 1) {
			r.Crashed = append(r.Crashed, fmt.Sprintf("i-%010d@%d", k, 1770320509021))
			r.Excused = append(r.Excused, fmt.Sprintf("i-%010d@%d", k, 1770320509021))
		}
		records = append(records, r)
	}
	messages := Messages("edge-1", records)
	var back []Record
	for i := range messages {
		datagram, err := Wire.Encode(&messages[i])
		is.NoErr(err)
		is.True(len(datagram) < 1400)
		m, err := Wire.Decode(datagram)
		is.NoErr(err)
		is.Equal(m.Box, "edge-1")
		back = append(back, m.Records...)
	}
	is.Equal(len(back), len(records))
	for i := range back {
		is.Equal(back[i].Request, records[i].Request)
		is.Equal(back[i].Crashed, records[i].Crashed)
		is.Equal(back[i].Remaining, records[i].Remaining)
	}
}

func FuzzDecode(f *testing.F) {
	good, err := Wire.Encode(&Message{Box: "edge-1", Records: []Record{{Request: 1, Crashed: []string{"i-1"}}}})
	if err != nil {
		f.Fatal(err)
	}
	for _, seed := range [][]byte{nil, {}, {wireVersion}, {wireVersion, 0xff}, []byte("GET / HTTP/1.1"), good} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, datagram []byte) {
		m, err := Wire.Decode(datagram)
		var wire *packet.Error
		if err != nil && !errors.As(err, &wire) {
			t.Fatalf("untyped error %v", err)
		}
		if err != nil {
			return
		}
		table := newTable(newClock())
		for i := range m.Records {
			table.Merge(m.Records[i])
		}
		if len(table.records) > maxRecords {
			t.Fatal("more records than maxRecords")
		}
	})
}

// TestRecordsWithManyCrashesConverge: boxes that each know of more crashes than a record names
// end with the same names. Further datagrams between them change nothing and do not prolong
// the hold.
func TestRecordsWithManyCrashesConverge(t *testing.T) {
	is := is.New(t)
	c := newClock()
	changes := 0
	tables := []*Table{newTable(c), newTable(c), newTable(c)}
	for i, table := range tables {
		table.OnChange = func(Record, string) { changes++ }
		for k := range 2 * maxServers {
			table.ObserveCrash(1, fmt.Sprintf("i-%d-%d", (i+k)%3, k))
		}
	}
	spread := func() {
		var sent []Record // datagrams cross
		for _, from := range tables {
			sent = append(sent, from.Holds()...)
		}
		c.advance(20 * time.Millisecond)
		for i, to := range tables {
			for k := range sent {
				to.Merge(sent[(i+k)%len(sent)])
			}
		}
	}
	for range 3 {
		spread()
	}
	changes = 0
	ends := tables[0].records[1].until
	for range 100 {
		spread()
	}
	is.Equal(changes, 0)
	is.Equal(tables[0].records[1].until, ends)
	is.Equal(tables[0].records[1].crashed, tables[1].records[1].crashed)
	is.Equal(tables[0].records[1].crashed, tables[2].records[1].crashed)
	// One more crash after the hold has ended holds the request again.
	c.now = ends.Add(time.Second)
	is.True(!held(tables[0], 1))
	is.True(tables[0].ObserveCrash(1, "z-last") != nil)
	is.True(held(tables[0], 1))
}
