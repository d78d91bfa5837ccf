package main

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"
)

// The clients of the case, the requests that each sends before its first one is answered, and the length of an
// answer. Some upstreams of the service turn slow (srv_slow, share .15): their work takes five times as long.
const (
	pipelining    = 420
	sentAhead     = 8
	answerBytes   = 240_000
	usualWork     = 1320 * time.Millisecond
	listenServers = 238
	slowServers   = 35
	slowFactor    = 5
	slowTime      = 6500 * time.Millisecond
	answersRounds = 2
	// startsWithin is the time over which the clients begin.
	startsWithin = 5500 * time.Millisecond
)

// playLargeAnswers plays the case in which one upstream turns slow while clients send requests ahead, and checks
// whether requests that were passed on to a sound upstream are answered.
func playLargeAnswers(s *stage) (broken bool, err error) {
	// slowFrom is when the upstreams turn slow; it is set before the first request.
	var slowFrom time.Time
	listen, err := s.addListeners(&slowFrom)
	if err != nil {
		return false, err
	}
	buying, err := newUpstream(s.ip(22), "i-00003", "licensing", 64, s.runs)
	if err != nil {
		return false, err
	}
	buying.work = func(string) time.Duration { return 840 * time.Millisecond }
	s.configure(1, []string{"listen", "licensing"}, []route{
		{"/listen/", "safe", "listen", 6000}, {"/buy/", "unsafe", "licensing", 4000},
	})
	for _, u := range append(listen, buying) {
		s.store.put("servers", u.id, u.entry("dkr-plateau", 0))
	}
	b, err := s.addBox("dkr-plateau", machineSize{cores: 0.32, memoryMB: 284, descriptors: 4100, linkMbps: 1000})
	if err != nil {
		return false, err
	}
	if err := b.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	go b.limitMemory(s.context, s.began)
	time.Sleep(4 * time.Second)
	s.note("a box of %d MB is ready; %d clients send %d requests ahead of the first answer, each with an answer of %d bytes", b.size.memoryMB, pipelining, sentAhead, answerBytes)
	const settle = 2 * time.Second
	slowFrom = time.Now().Add(settle)
	lost := &losses{runs: s.runs}
	stop := make(chan struct{})
	var load sync.WaitGroup
	for range callers {
		load.Go(func() { s.buy(b, s.ip(30), lost, stop) })
	}
	for round := range answersRounds {
		time.Sleep(settle)
		var ahead sync.WaitGroup
		var mu sync.Mutex
		whole := 0
		for i := range pipelining {
			ahead.Go(func() {
				time.Sleep(startsWithin * time.Duration(i) / pipelining)
				n := s.sendAhead(b, s.ip(31))
				mu.Lock()
				whole += n
				mu.Unlock()
			})
		}
		ahead.Wait()
		s.note("round %d: %d of %d requests that were sent ahead got their whole answers", round+1, whole, pipelining*(sentAhead+1))
		s.reportMemory(1, lost)
	}
	close(stop)
	load.Wait()
	s.reportMemory(1, lost)
	return lost.count() > allowedLost, nil
}

// addListeners starts the upstreams that send large answers.
func (s *stage) addListeners(slowFrom *time.Time) (list []*upstream, err error) {
	for i := range listenServers {
		u, err := newUpstream(s.ip(20), fmt.Sprintf("i-1%04d", i), "listen", 6, s.runs)
		if err != nil {
			return nil, err
		}
		mayBeSlow := s.trouble && i < slowServers
		u.work = func(string) time.Duration {
			if mayBeSlow && time.Since(*slowFrom) < slowTime {
				return slowFactor * usualWork
			}
			return usualWork
		}
		u.size = func(string) int { return answerBytes }
		list = append(list, u)
	}
	return list, nil
}

// sendAhead sends a request and several others before its answer, and returns how many whole answers came in
// their order.
func (s *stage) sendAhead(b *box, from string) (whole int) {
	c, err := b.dial(from)
	if err != nil {
		return 0
	}
	defer func() { _ = c.Close() }()
	var ids []string
	var text strings.Builder
	for range sentAhead + 1 {
		id := requestID()
		ids = append(ids, id)
		text.WriteString(requestText("GET", "/listen/x", id, id, 6*time.Second))
	}
	if _, err := io.WriteString(c, text.String()); err != nil {
		return 0
	}
	for range ids {
		s.countSent()
	}
	r := bufio.NewReader(c)
	for _, id := range ids {
		answer := readReply(c, r, "GET", time.Now().Add(8*time.Second))
		s.countEnd(answer.status)
		s.writeRequest("GET", id, b, answer)
		if answer.status != 200 || !strings.HasPrefix(answer.body, id) {
			return whole
		}
		whole++
	}
	return whole
}
