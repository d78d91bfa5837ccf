package backend

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestKeysLeaveARegionWhoseServersAreFull checks that the region's share of its keys falls while
// its servers report waiting requests and others report room, no faster than the cap on shifts.
// It comes back when they have room again, and never rises above the region's share of the slots.
// Customers that are bound to a region can fill its servers: with the share by slots alone, the
// clients of a region with 8 of 88 servers earned 0.67 of their credit, and others 0.85.
func TestKeysLeaveARegionWhoseServersAreFull(t *testing.T) {
	is := is.New(t)
	s, c := newTestSet(1)
	s.Replace(append(servers("east-a", 4, 4), servers("west-a", 12, 4)...), true)
	// window sends requests for 2 s and returns the share that stayed in the region.
	window := func(near, far *Load) float64 {
		stayed := 0
		for key := range uint64(1000) {
			c.advance(2 * time.Millisecond)
			lease, err := choose(s, mix(key))
			is.NoErr(err)
			load := near
			if lease.Remote {
				load = far
			} else {
				stayed++
			}
			// Passed to Done, the load of others' requests would make the server full.
			lease.Done(Answered, nil)
			s.updateFill(lease, load, c.now())
		}
		return float64(stayed) / 1000
	}
	idle, busy := &Load{Running: 1, Slots: 4}, &Load{Running: 4, Waiting: 3, Slots: 4}
	bySlots := window(idle, idle)
	is.True(bySlots > 0.45 && bySlots < 0.55)
	last := bySlots
	for range 20 {
		share := window(busy, idle)
		is.True(last-share <= 0.15)
		last = share
	}
	is.True(last < 0.1)
	// If all servers are equally full, no keys move.
	for range 20 {
		last = window(busy, busy)
	}
	is.True(last < 0.1)
	for range 20 {
		share := window(idle, idle)
		is.True(share-last <= 0.15)
		is.True(share <= bySlots+0.01)
		last = share
	}
	is.True(last > bySlots-0.05)
}

// TestShareStaysWhereAllAreFull checks that a region does not send keys to others that have as
// much to do.
func TestShareStaysWhereAllAreFull(t *testing.T) {
	is := is.New(t)
	f := fills{near: fill{value: 1.5}, far: fill{value: 1.4}}
	s, c := newTestSet(1)
	f.near.at, f.far.at = c.now(), c.now()
	is.Equal(f.targetShare(&s.Policy, 0.4, 0.5, c.now()), 0.4)
	f.far.value = 1.9
	is.Equal(f.targetShare(&s.Policy, 0.4, 0.5, c.now()), 0.5)
	f.far.value = 0.5
	is.Equal(f.targetShare(&s.Policy, 0.4, 0.5, c.now()), 0.0)
	f.near.value = 0.8
	is.Equal(f.targetShare(&s.Policy, 0.4, 0.5, c.now()), 0.4)
}

// TestRetryAfterOfAFullHome checks that RetryAfter grows with the excess at the home, by
// the latency of its requests.
func TestRetryAfterOfAFullHome(t *testing.T) {
	is := is.New(t)
	s, c := newTestSet(1)
	s.Replace(servers("east-a", 1, 4), true)
	lease, err := choose(s, 1)
	is.NoErr(err)
	c.advance(200 * time.Millisecond)
	lease.Done(Answered, nil)
	var leases []*Lease
	var choice *ChoiceError
	for choice == nil {
		lease, err := choose(s, mix(uint64(len(leases))))
		if !errors.As(err, &choice) {
			leases = append(leases, lease)
		}
	}
	// The limit is 8.4 requests at 4 slots of 200 ms each, so that with 9 requests 1.6 have to be
	// worked off.
	is.Equal(len(leases), 9)
	is.Equal(choice.Reason, Full)
	is.Equal(choice.RetryAfter.Round(time.Millisecond), 80*time.Millisecond)
	leases[0].Done(Shed, &Load{Running: 4, Waiting: 12, Slots: 4})
	_, err = choose(s, 1)
	is.True(errors.As(err, &choice))
	is.True(choice.RetryAfter > 300*time.Millisecond)
}
