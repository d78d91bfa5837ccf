package main

import (
	"bufio"
	"fmt"
	"io"
	"sync"
	"time"
)

// The configuration of the case and its changes: big_config adds 1,300 routes four times, and each config_storm
// changes the configuration every 0.248 s for 4.57 s.
const (
	manyRoutes  = 4 * 1300
	stormTime   = 4570 * time.Millisecond
	stormGap    = 248 * time.Millisecond
	stormPause  = 500 * time.Millisecond
	stormsUntil = 108 * time.Second
	// callers is how many clients keep a connection to each box and send one request after the other on it.
	callers = 12
	// allowedLost is how many requests may get no answer.
	allowedLost = 3
)

// playConfigurations plays the case in which configurations follow each other for long, and checks whether
// requests that were passed on to a sound upstream are answered.
func playConfigurations(s *stage) (broken bool, err error) {
	u, err := newUpstream(s.ip(20), "i-00001", "licensing", 64, s.runs)
	if err != nil {
		return false, err
	}
	u.work = func(string) time.Duration { return 840 * time.Millisecond }
	routes := []route{{"/buy/", "unsafe", "licensing", 4000}}
	for i := range manyRoutes {
		routes = append(routes, route{fmt.Sprintf("/many-%04d/", i), "safe", "licensing", 2000})
	}
	s.configure(1, []string{"licensing"}, routes)
	s.store.put("servers", u.id, u.entry("dkr-plateau", 0))
	for range 2 {
		if _, err := s.addBox("dkr-plateau", machineSize{cores: 0.32, memoryMB: 284, descriptors: 4100, linkMbps: 1000}); err != nil {
			return false, err
		}
	}
	for _, b := range s.boxes {
		if err := b.awaitReady(15 * time.Second); err != nil {
			return false, err
		}
		go b.limitMemory(s.context, s.began)
	}
	s.note("two boxes of %d MB are ready; a configuration of %d routes, %d KB", s.boxes[0].size.memoryMB, len(routes), s.store.size("config", "main")>>10)
	lost := &losses{runs: s.runs}
	stop := make(chan struct{})
	var load sync.WaitGroup
	for i, b := range s.boxes {
		for range callers {
			load.Go(func() { s.buy(b, s.ip(30+i), lost, stop) })
		}
	}
	version := 1
	for next := time.Now(); time.Since(s.began) < stormsUntil; {
		if !s.trouble {
			time.Sleep(stormTime)
		}
		for storm := time.Now(); s.trouble && time.Since(storm) < stormTime; {
			version += 2
			routes[1].timeoutMS = 1000 + version%1000
			s.configure(version, []string{"licensing"}, routes)
			time.Sleep(stormGap)
		}
		time.Sleep(stormPause)
		if time.Since(next) > 10*time.Second {
			next = time.Now()
			s.reportMemory(version, lost)
		}
	}
	close(stop)
	load.Wait()
	s.reportMemory(version, lost)
	return lost.count() > allowedLost, nil
}

func (s *stage) reportMemory(version int, lost *losses) {
	for _, b := range s.boxes {
		b.mu.Lock()
		peak, ends := b.peakKB>>10, b.ends
		b.ends = nil
		b.mu.Unlock()
		for _, e := range ends {
			fmt.Println(e)
			s.write(e)
		}
		s.note("version %d: %s has used up to %d MB of memory; %d requests lost so far", version, b.name, peak, lost.count())
	}
}

// losses counts requests that were passed on to an upstream and whose connection closed without an answer.
type losses struct {
	runs *runLog

	mu   sync.Mutex
	lost int
}

func (l *losses) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lost
}

// note counts a request that got no answer, if an upstream had it.
func (l *losses) note(id string) {
	began, _ := l.runs.state(id)
	l.mu.Lock()
	defer l.mu.Unlock()
	if began {
		l.lost++
	}
}

// buy sends one request after the other on a kept connection until stopped, and opens a new one where that ends.
func (s *stage) buy(b *box, from string, lost *losses, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		c, err := b.dial(from)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		r := bufio.NewReader(c)
		for isOpen := true; isOpen; {
			select {
			case <-stop:
				isOpen = false
				continue
			default:
			}
			id := requestID()
			if _, err := io.WriteString(c, requestText("DELETE", "/buy/x", id, id, 4*time.Second)); err != nil {
				break
			}
			s.countSent()
			answer := readReply(c, r, "DELETE", time.Now().Add(5*time.Second))
			s.countEnd(answer.status)
			s.writeRequest("DELETE", id, b, answer)
			if answer.status == 0 {
				lost.note(id)
			}
			isOpen = answer.status != 0 && !answer.closes
		}
		_ = c.Close()
	}
}
