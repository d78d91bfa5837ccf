package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/stoneworks/stoneworks/pkg/customer"
)

// BenchmarkArrive measures the time of a decision on a request at a box that is its own
// allocator, by the number of customers.
func BenchmarkArrive(b *testing.B) {
	for _, customers := range []int{79, 100_000} {
		now := simStart
		self := Box{Key: KeyOf("box"), Address: "box"}
		l := &Limiter{
			Tolerance: simTolerance, Zone: "a", Zones: []string{"a"}, Self: self, Incarnation: 1,
			Now: func() time.Time { return now }, Random: func() float64 { return 0.5 },
		}
		l.Start()
		var list []customer.Customer
		for i := range customers {
			list = append(list, customer.Customer{Name: fmt.Sprint("customer-", i), Rate: 1e6, Burst: 1e6})
		}
		l.SetCustomers(list)
		view := View{Weight: 1, First: []Box{self}}
		for range 20 {
			now = now.Add(ReportEvery)
			l.Tick(view)
		}
		b.Run(fmt.Sprint(customers), func(b *testing.B) {
			for i := range b.N {
				now = now.Add(10 * time.Microsecond)
				if i%10_000 == 0 {
					l.Tick(view)
				}
				l.Arrive(IDOf(list[i%customers].Name))
			}
		})
	}
}
