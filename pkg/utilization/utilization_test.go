package utilization

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// box is a machine of known size whose counters a test moves.
type box struct {
	*Meter
	now     time.Time
	reading Reading
}

func newBox(s Sizes) *box {
	b := &box{now: time.Unix(1000, 0)}
	b.Meter = &Meter{Sizes: s, Now: func() time.Time { return b.now }}
	b.Observe(b.reading)
	return b
}

// run lets the box use what is given for each second.
func (b *box) run(seconds int, processor time.Duration, received, sent uint64) {
	for range 2 * seconds {
		b.now = b.now.Add(500 * time.Millisecond)
		b.reading.Processor += processor / 2
		b.reading.Received += received / 2
		b.reading.Sent += sent / 2
		b.Observe(b.reading)
	}
}

func (b *box) isNear(is *is.I, r Resource, want float64) {
	is.Helper()
	share, known := b.Share(r)
	is.True(known)
	is.True(math.Abs(share-want) < 0.01)
}

func TestSharesAreOfTheMachine(t *testing.T) {
	is := is.New(t)
	b := newBox(Sizes{Cores: 0.4, LinkMbps: 10, MemoryMB: 400, Descriptors: 8000})
	b.reading.Memory, b.reading.Descriptors = 100<<20, 2000
	b.run(20, 200*time.Millisecond, 250_000, 1_125_000)
	b.isNear(is, Processor, 0.5)
	b.isNear(is, LinkIn, 0.2)
	b.isNear(is, LinkOut, 0.9)
	b.isNear(is, Memory, 0.25)
	b.isNear(is, Descriptors, 0.25)
	largest, share, known := b.Largest()
	is.True(known)
	is.Equal(largest, LinkOut)
	is.True(math.Abs(share-0.9) < 0.01)
}

func TestSharesFollowWithinSeconds(t *testing.T) {
	is := is.New(t)
	b := newBox(Sizes{Cores: 1})
	b.run(1, time.Second, 0, 0)
	share, _ := b.Share(Processor)
	is.True(share > 0.3 && share < 0.5) // one busy second is not the box's load
	b.run(9, time.Second, 0, 0)
	b.isNear(is, Processor, 1)
	b.run(10, 0, 0, 0)
	b.isNear(is, Processor, 0)
}

func TestUnknownSizesAreSaidSo(t *testing.T) {
	is := is.New(t)
	b := newBox(Sizes{LinkMbps: 10})
	b.reading.Memory = 1 << 40
	b.run(20, 5*time.Second, 625_000, 0)
	is.Equal(b.Unknown(), []Resource{Processor, Memory, Descriptors})
	largest, _, known := b.Largest()
	is.True(known)
	is.Equal(largest, LinkIn)
	_, _, known = newBox(Sizes{}).Largest()
	is.True(!known)
}

// TestResetCountersAndPausesAreBorne checks readings that go back, and two at the same time.
func TestResetCountersAndPausesAreBorne(t *testing.T) {
	is := is.New(t)
	b := newBox(Sizes{Cores: 1, LinkMbps: 8})
	b.run(5, 500*time.Millisecond, 500_000, 0)
	b.Observe(Reading{})
	b.now = b.now.Add(time.Second)
	b.Observe(Reading{})
	for _, r := range Resources() {
		share, _ := b.Share(r)
		is.True(share >= 0 && share <= 0.5)
	}
}

func TestLevelsDoNotAlternate(t *testing.T) {
	is := is.New(t)
	is.Equal(LevelOf(0.69, Free), Free)
	is.Equal(LevelOf(0.7, Free), Busy)
	is.Equal(LevelOf(0.85, Free), Crowded)
	is.Equal(LevelOf(1.3, Free), Full)
	is.Equal(LevelOf(0.86, Full), Full)
	is.Equal(LevelOf(0.84, Full), Crowded)
	is.Equal(LevelOf(0.76, Crowded), Crowded)
	is.Equal(LevelOf(0.1, Full), Free)
}
