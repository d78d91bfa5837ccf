// Package control switches off single mechanisms of a box by replacing its function fields, to
// check that the tests of the promises fail without them.
package control

import (
	"net"
	"time"

	"github.com/stoneworks/stoneworks/pkg/admission"
	"github.com/stoneworks/stoneworks/pkg/box"
	"github.com/stoneworks/stoneworks/pkg/config"
	"github.com/stoneworks/stoneworks/pkg/exchange"
	"github.com/stoneworks/stoneworks/pkg/idempotency"
	"github.com/stoneworks/stoneworks/pkg/model"
	"github.com/stoneworks/stoneworks/pkg/outcome"
	"github.com/stoneworks/stoneworks/pkg/slots"
)

// Controls are the functions that switch off a mechanism, by name; "" changes nothing.
var Controls = map[string]func(*box.Box){
	"": func(*box.Box) {},
	// no-once gives each request a new idempotency table, so no key is ever known.
	"no-once": func(b *box.Box) {
		b.Entry.Begin = func(k idempotency.Key, issued time.Duration) (*idempotency.Execution, bool, *outcome.Failure) {
			return idempotency.NewTable(1, time.Hour, func() time.Duration { return 0 }).Begin(k, issued)
		}
	},
	// reuse-any reuses connections whatever the end of their last exchange.
	"reuse-any": func(b *box.Box) {
		newPool := b.NewPool
		b.NewPool = func(address string, maxIdle int) *exchange.Pool {
			p := newPool(address, maxIdle)
			p.Reusable = func(exchange.End) bool { return true }
			p.StillUsable = func(net.Conn) bool { return true }
			return p
		}
	},
	// ignore-leaving admits requests to leaving backend servers.
	"ignore-leaving": func(b *box.Box) {
		newGate := b.NewGate
		b.NewGate = func() *admission.Gate {
			g := newGate()
			g.MayAdmit = func(s *admission.ServerStatus) bool { return s.InUse < s.Share }
			return g
		}
	},
	// exit-at-once exits without the steps of leaving.
	"exit-at-once": func(b *box.Box) { b.LeaveSteps = nil },
	// own-view uses the share of slots from the box's own view and ignores its peers' reports.
	"own-view": func(b *box.Box) {
		b.UsableSlots = func(box, server string, n int, own []slots.VersionedView, _ []slots.PeerReport) int {
			return own[len(own)-1].View.Share(box, server, n)
		}
	},
	// no-cap shifts all traffic at once.
	"no-cap": func(b *box.Box) { b.ShiftCap = func(*model.Service) float64 { return 1 } },
	// any-revision accepts every object as newer, whatever its revision.
	"any-revision": func(b *box.Box) {
		b.Store.Newer = func(*config.Object, *config.Object) bool { return true }
	},
	// careless-not-run reports outcome not-run for every failed exchange.
	"careless-not-run": func(b *box.Box) {
		classify := b.Entry.Classify
		b.Entry.Classify = func(err error) *outcome.Failure {
			f := classify(err)
			f.Outcome = outcome.NotRun
			return f
		}
	},
}
