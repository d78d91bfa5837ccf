package quota

import (
	"testing"
	"time"

	"github.com/stoneworks/stoneworks/pkg/customer"
)

// TestZonesWithoutAPartBorrow guards against a limit so small that only some zones have a
// share of it being refused to all clients of the other zones, whatever the zones with a share
// have to spare. Two faults cause it: a zone takes what it may save itself, which is nothing,
// for what another zone may have saved; and a zone borrows all that its boxes want to hold,
// which none of them may, and loses it. With both, none of 93 requests is admitted in zones
// without a share and all are in those with one; with the second alone, half are, and every
// second borrowed token is never granted.
func TestZonesWithoutAPartBorrow(t *testing.T) {
	list := []customer.Customer{{Name: "small", Rate: 3}}
	f := newSimFleet(1, 6, 2, 2, list)
	f.tolerance = simServerTolerance
	f.start()
	for _, zone := range f.zones {
		before := len(f.customers["small"].admitted)
		sent := f.customers["small"].sent
		f.load("small", func(time.Duration) float64 { return 2 }, func(time.Duration) *simBox { return f.pickBox(zone) }, 15*time.Second)
		f.run(16 * time.Second)
		admitted, sent := len(f.customers["small"].admitted)-before, f.customers["small"].sent-sent
		t.Logf("%s: %d of %d admitted at two thirds of the limit", zone, admitted, sent)
		if admitted < sent*9/10 {
			t.Errorf("%s: %d of %d admitted at two thirds of the limit", zone, admitted, sent)
		}
	}
	if most, allowed := f.customers["small"].most(f.tolerance); float64(most) > allowed {
		t.Errorf("%d requests in a window, %.0f allowed", most, allowed)
	}
}
