package retry

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestBudgetHoldsOverAllBoxes checks that the retries of all boxes in any window stay within the
// bound, however requests and retries are distributed over the boxes.
func TestBudgetHoldsOverAllBoxes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		boxes := rapid.IntRange(1, 12).Draw(t, "boxes")
		bounds := Bounds{Ratio: 0.2, Slack: 20, Window: 10 * time.Second}
		now := time.Unix(1000, 0)
		var budgets []*Budget
		for range boxes {
			budgets = append(budgets, NewBudget(bounds, func() int { return boxes }, func() time.Time { return now }))
		}
		var requests, retries []time.Time
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			b := budgets[rapid.IntRange(0, boxes-1).Draw(t, "box")]
			if rapid.Bool().Draw(t, "request") {
				b.Request("shop")
				requests = append(requests, now)
			} else if b.Spend("shop") {
				retries = append(retries, now)
			}
		}
		for _, end := range retries {
			r := within(retries, end, bounds.Window)
			allowed := bounds.Ratio*float64(within(requests, end, bounds.Window)) + bounds.Slack
			if float64(r) > allowed {
				t.Fatalf("%d retries in the window that ends at %v; at most %v are allowed", r, end, allowed)
			}
		}
	})
}

// TestBudgetHoldsWhileTrafficMovesBetweenBoxes guards against boxes saving retries: from some
// moment on every server refuses requests, and traffic arrives in waves that reach the boxes one
// after the other. If a box could save what its requests allow until its own traffic is gone,
// the sum would exceed what the requests of all boxes allow at that time.
func TestBudgetHoldsWhileTrafficMovesBetweenBoxes(t *testing.T) {
	const (
		boxes = 12
		day   = 60 * time.Second
		tick  = 20 * time.Millisecond
		wave  = 36 * time.Second
	)
	bounds := Bounds{Ratio: 0.2, Slack: 64, Window: 10 * time.Second}
	for onset := time.Duration(0); onset < wave; onset += 3 * time.Second {
		checkWaves(t, bounds, boxes, day, tick, wave, onset)
	}
}

func checkWaves(t *testing.T, bounds Bounds, boxes int, day, tick, wave, onset time.Duration) {
	start := time.Unix(1000, 0)
	now := start
	var budgets []*Budget
	for range boxes {
		budgets = append(budgets, NewBudget(bounds, func() int { return boxes }, func() time.Time { return now }))
	}
	owed := make([]float64, boxes)
	var requests, retries []time.Time
	for ; now.Sub(start) < day; now = now.Add(tick) {
		for i, b := range budgets {
			phase := float64(i%3) / 3
			swing := 1 + 0.8*math.Sin(2*math.Pi*(now.Sub(start).Seconds()/wave.Seconds()+phase))
			owed[i] += 45 * swing * tick.Seconds()
			for ; owed[i] >= 1; owed[i]-- {
				b.Request("shop")
				requests = append(requests, now)
				if now.Sub(start) >= onset && b.Spend("shop") {
					retries = append(retries, now)
				}
			}
		}
	}
	for end := start.Add(bounds.Window); end.Before(now); end = end.Add(100 * time.Millisecond) {
		r := within(retries, end, bounds.Window)
		allowed := bounds.Ratio*float64(within(requests, end, bounds.Window)) + bounds.Slack
		if float64(r) > allowed {
			t.Fatalf("servers refuse from %v on: %d retries in the window that ends after %v; at most %.0f are allowed", onset, r, end.Sub(start), allowed)
		}
	}
}

// TestBudgetDividesSlackAmongTheMostBoxesOfAWindow checks that a box that no longer sees other
// boxes does not use their share of the slack while they may still use it.
func TestBudgetDividesSlackAmongTheMostBoxesOfAWindow(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	boxes := 10
	b := NewBudget(Bounds{Ratio: 1, Slack: 100, Window: 10 * time.Second}, func() int { return boxes }, func() time.Time { return now })
	spend := func() int {
		for range 200 {
			b.Request("shop")
		}
		n := 0
		for b.Spend("shop") {
			n++
		}
		return n
	}
	first := spend()
	is.True(first <= 10)
	boxes = 1
	is.Equal(spend(), first) // the other boxes were seen within the window
	now = now.Add(11 * time.Second)
	is.True(spend() > first)
}

func within(list []time.Time, end time.Time, window time.Duration) int {
	n := 0
	for _, at := range list {
		if !at.After(end) && end.Sub(at) <= window {
			n++
		}
	}
	return n
}

func TestNoSlackBeforeTheBoxesAreKnown(t *testing.T) {
	is := is.New(t)
	b := NewBudget(Bounds{Ratio: 0.2, Slack: 100, Window: time.Second}, func() int { return 0 }, time.Now)
	is.Equal(b.Spend("shop"), false)
}

func TestEachServiceHasItsOwnBudget(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	b := NewBudget(Bounds{Ratio: 1, Window: 10 * time.Second}, func() int { return 1 }, func() time.Time { return now })
	b.Request("shop")
	is.Equal(b.Spend("desk"), false)
	is.Equal(b.Spend("shop"), true)
	is.Equal(b.Spend("shop"), false)
	now = now.Add(time.Minute)
	is.Equal(b.Spend("shop"), false) // the request lies outside the window
}

// TestBudgetHoldsWhereEachPartIsBelowOneRepeat covers small shares: with 295 boxes the share of each
// is one or two retries, with 3,000 less than one. Clients move between boxes and every request asks
// for a retry. The sum must stay within the bound, and the retries that requests allow must still be
// used.
func TestBudgetHoldsWhereEachPartIsBelowOneRepeat(t *testing.T) {
	const (
		tick    = 100 * time.Millisecond
		ticks   = 600
		serving = 27
		perTick = 450
	)
	for _, boxes := range []int{30, 295, 3000} {
		bounds := Bounds{Ratio: 0.2, Slack: 630, Window: 10 * time.Second}
		now := time.Unix(1000, 0)
		var budgets []*Budget
		for range boxes {
			budgets = append(budgets, NewBudget(bounds, func() int { return boxes }, func() time.Time { return now }))
		}
		var requests, retries [ticks]float64
		for k := range ticks {
			// Clients move to other boxes every four seconds.
			first := k / 40 * serving
			for i := range perTick {
				b := budgets[(first+i%serving)%boxes]
				b.Request("shop")
				requests[k]++
				if b.Spend("shop") {
					retries[k]++
				}
			}
			now = now.Add(tick)
		}
		window := int(bounds.Window / tick)
		for end := window; end <= ticks; end++ {
			asked, sent := total(requests[end-window:end]), total(retries[end-window:end])
			if sent > bounds.Ratio*asked+bounds.Slack {
				t.Fatalf("%d boxes: %.0f retries for %.0f requests exceed the bound", boxes, sent, asked)
			}
			if sent < 0.8*bounds.Ratio*asked {
				t.Fatalf("%d boxes: only %.0f retries for %.0f requests", boxes, sent, asked)
			}
		}
	}
}

func total(list []float64) float64 {
	sum := 0.0
	for _, v := range list {
		sum += v
	}
	return sum
}

// TestSpareRetriesLeaveTheReserve checks that SpendSpare leaves the reserve, which Spend can then
// take, and that a box that can have only one token has nothing to reserve.
func TestSpareRetriesLeaveTheReserve(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	spend := func(boxes int, reserve float64) (spare, rest int) {
		b := NewBudget(Bounds{Ratio: 0.2, Slack: 25, Window: 10 * time.Second}, func() int { return boxes }, func() time.Time { return now })
		for range 200 {
			b.Request("shop")
		}
		for b.SpendSpare("shop", reserve) {
			spare++
		}
		for b.Spend("shop") {
			rest++
		}
		return spare, rest
	}
	spare, rest := spend(2, 0.5)
	is.Equal(spare, 6) // of ten tokens, while there are at least five
	is.Equal(rest, 4)
	spare, rest = spend(2, 0)
	is.Equal(spare, 10)
	is.Equal(rest, 0)
	spare, _ = spend(1000, 0.5)
	is.Equal(spare, 1)
}
