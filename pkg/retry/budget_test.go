package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestBudgetHoldsOverAllBoxes: however requests and wishes to repeat fall on
// the boxes, the repeats of all of them in any window stay within the bound.
func TestBudgetHoldsOverAllBoxes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		boxes := rapid.IntRange(1, 12).Draw(t, "boxes")
		terms := Terms{Ratio: 0.2, Slack: 20, Window: 10 * time.Second}
		now := time.Unix(1000, 0)
		var budgets []*Budget
		for range boxes {
			budgets = append(budgets, NewBudget(terms, func() int { return boxes }, func() time.Time { return now }))
		}
		var requests, repeats []time.Time
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			b := budgets[rapid.IntRange(0, boxes-1).Draw(t, "box")]
			if rapid.Bool().Draw(t, "request") {
				b.Request("shop")
				requests = append(requests, now)
			} else if b.Spend("shop") {
				repeats = append(repeats, now)
			}
		}
		for _, end := range repeats {
			r := within(repeats, end, terms.Window)
			allowed := terms.Ratio*float64(within(requests, end, terms.Window)) + terms.Slack
			if float64(r) > allowed {
				t.Fatalf("%d repeats in the window that ends at %v; allowed are %v", r, end, allowed)
			}
		}
	})
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
	b := NewBudget(Terms{Ratio: 0.2, Slack: 100, Window: time.Second}, func() int { return 0 }, time.Now)
	is.Equal(b.Spend("shop"), false)
}

func TestBudgetIsOfEachServiceItsOwn(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	b := NewBudget(Terms{Ratio: 1, Window: 10 * time.Second}, func() int { return 1 }, func() time.Time { return now })
	b.Request("shop")
	is.Equal(b.Spend("desk"), false)
	is.Equal(b.Spend("shop"), true)
	is.Equal(b.Spend("shop"), false)
	now = now.Add(time.Minute)
	is.Equal(b.Spend("shop"), false) // what lies outside the window counts no more
}
