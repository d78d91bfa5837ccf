package customerstats

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestWorstTenthOfTheCustomers(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	l := NewLedger(func() time.Time { return now })
	share, customers := l.WorstTenth()
	is.Equal(share, 1.0)
	is.Equal(customers, 0)
	for i := range 20 {
		for j := range 10 {
			l.Record(fmt.Sprint("customer-", i), j >= i) // customer i has 10-i of 10 requests in time
		}
	}
	l.Record("rare", false) // too few requests to be considered
	share, customers = l.WorstTenth()
	is.Equal(customers, 2)
	is.True(math.Abs(share-0) < 1e-9) // customers 10 to 19 have no request in time
	settled, inTime := l.Counts("customer-3")
	is.Equal(settled, uint32(10))
	is.Equal(inTime, uint32(7))
	settled, _ = l.Counts("nobody")
	is.Equal(settled, uint32(0))
}

// TestOldResultsDecay checks that results of some time ago no longer count.
func TestOldResultsDecay(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	l := NewLedger(func() time.Time { return now })
	for range 20 {
		l.Record("a", false)
	}
	now = now.Add(3 * decayTime)
	for range 20 {
		l.Record("a", true)
	}
	share, _ := l.WorstTenth()
	is.True(share > 0.9)
}
