package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// The upstreams of the case, how many more are added at once (share .3), and the load on each box.
const (
	idleUpstreams = 3332
	idleAdded     = 1000
	idlePerSecond = 280
	idleCalm      = 28 * time.Second
	idleAfter     = 62 * time.Second
	// contactTime is contact-ms of the settings.
	contactTime = 4 * time.Second
)

// playIdleConnections plays the case in which upstreams are added, and checks whether boxes that say that they
// are ready take new connections.
func playIdleConnections(s *stage) (broken bool, err error) {
	s.configure(1, []string{"listen"}, []route{{"/listen/", "safe", "listen", 2000}})
	zones := []string{"dkr-plateau", "dkr-almadies"}
	if err := s.addUpstreams(zones, 0, idleUpstreams, 0); err != nil {
		return false, err
	}
	for _, zone := range zones {
		if _, err := s.addBox(zone, machineSize{cores: 0.32, memoryMB: 284, descriptors: 4100, linkMbps: 1000}); err != nil {
			return false, err
		}
	}
	for _, b := range s.boxes {
		if err := b.awaitReady(15 * time.Second); err != nil {
			return false, err
		}
	}
	for _, b := range s.boxes {
		go b.askReady(s.context)
	}
	time.Sleep(4 * time.Second)
	s.note("two boxes are ready, %d upstreams; %d requests a second to each box, each on a connection of its own", idleUpstreams, idlePerSecond)
	var load sync.WaitGroup
	stop := make(chan struct{})
	var served, failed atomic.Int64
	for i, b := range s.boxes {
		load.Go(func() { s.sendSteadily(b, s.ip(30+i), stop, &served, &failed) })
	}
	report := func() {
		for _, b := range s.boxes {
			s.note("%s has %d descriptors open, of %d; answered so far at both boxes %d, not answered %d", b.name, b.openDescriptors(), b.size.descriptors, served.Load(), failed.Load())
		}
	}
	wait(idleCalm, report)
	if s.trouble {
		s.note("scale_out: %d upstreams are added (share .3)", idleAdded)
		if err := s.addUpstreams(zones, idleUpstreams, idleAdded, 3*time.Second); err != nil {
			return false, err
		}
	}
	wait(idleAfter, report)
	close(stop)
	load.Wait()
	time.Sleep(contactTime)
	report()
	var checks sync.WaitGroup
	var refusing atomic.Int64
	for i, b := range s.boxes {
		checks.Go(func() {
			if s.takesNone(b, s.ip(40+i)) {
				refusing.Add(1)
			}
		})
	}
	checks.Wait()
	return refusing.Load() > 0, nil
}

// wait waits and calls the report several times.
func wait(d time.Duration, report func()) {
	const reports = 4
	for range reports {
		time.Sleep(d / reports)
		report()
	}
}

// addUpstreams starts upstreams and lists them.
func (s *stage) addUpstreams(zones []string, from, count int, cold time.Duration) error {
	for i := from; i < from+count; i++ {
		u, err := newUpstream(s.ip(20+i%4), fmt.Sprintf("i-%05d", i), "listen", 9, s.runs)
		if err != nil {
			return err
		}
		u.work = func(string) time.Duration { return 10 * time.Millisecond }
		s.store.put("servers", u.id, u.entry(zones[i%len(zones)], cold))
	}
	return nil
}

// sendSteadily sends requests of many users to a box until stopped.
func (s *stage) sendSteadily(b *box, from string, stop <-chan struct{}, served, failed *atomic.Int64) {
	tick := time.NewTicker(time.Second / idlePerSecond)
	defer tick.Stop()
	var requests sync.WaitGroup
	defer requests.Wait()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		requests.Go(func() {
			answer := s.once(b, from, "GET", "/listen/x", requestID(), fmt.Sprint(rand.Uint64()), 3*time.Second)
			if answer.status == 200 {
				served.Add(1)
				return
			}
			failed.Add(1)
		})
	}
}

// takesNone reports whether a box takes no new connection for contactTime although it says that it is ready and
// clients try all the time.
func (s *stage) takesNone(b *box, from string) bool {
	tries, taken := 0, 0
	var last error
	asked, ready := b.questions()
	for end := time.Now().Add(contactTime + 2*time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		id := requestID()
		answer := s.once(b, from, "GET", "/listen/x", id, id, 3*time.Second)
		tries++
		s.writeRequest("GET", id, b, answer)
		if answer.status != 0 {
			taken++
		} else {
			last = answer.err
		}
	}
	askedNow, readyNow := b.questions()
	asked, ready = askedNow-asked, readyNow-ready
	s.note("%s: %d of %d clients that tried within %v were answered (last error: %v); ready %d of %d times; %d descriptors open",
		b.name, taken, tries, contactTime+2*time.Second, last, ready, asked, b.openDescriptors())
	return taken == 0 && asked > 0 && ready == asked
}
