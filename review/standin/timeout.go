package main

import (
	"fmt"
	"time"
)

const (
	// shortTimeoutMs is the route's time-out after the change of the configuration: less than the
	// upstreams' work takes.
	shortTimeoutMs = 600
	// streamedBody is more than a box buffers of a body, and smallBody less.
	streamedBody = 1500 << 10
	smallBody    = 100 << 10
	// lostMost is how many requests of kept connections may be closed without an answer.
	lostMost = 3
	// answerSlack is how long after the time-out an answer may come; unansweredLeast is the number, and
	// unansweredShare the part, of requests without one that break CONFIG.
	answerSlack     = 500 * time.Millisecond
	unansweredLeast = 8
	unansweredShare = 0.25
)

// playTimeout sends uploads. With the disruption the operator has shortened the route's time-out, so
// that they outlast it.
//
// LOST: a machine in touch takes a request from a kept connection, passes it on to a sound upstream,
// and closes that connection with no answer, more than three times.
func playTimeout(p *play) (isBroken bool, err error) {
	if p.isTrouble {
		p.configure(2, shortTimeoutMs)
		p.note("the configuration with the time-out of %d ms was acknowledged", shortTimeoutMs)
		time.Sleep(configure + time.Second)
	}
	uploads, err := p.uploadFromAll(func(c *client, n int) *upload {
		size := streamedBody
		if n == uploadsEach-1 {
			size = smallBody
		}
		return c.send(fmt.Sprintf("up-%s-%d", c.box.ip, n), randomBody(int64(n), size), false)
	})
	if err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	runs := allRuns(p.upstreams)
	lost, outlasted, unanswered, ran := 0, 0, 0, 0
	for _, one := range uploads {
		p.note("sent %s to %s: %d bytes; after %d ms the client got status %d, signed %t, error %v", one.id, one.box, one.bytes, one.took.Milliseconds(), one.status, one.signed, one.err)
		for _, r := range runs[one.id] {
			p.note("  %s: body whole %t; %s", r.upstream, r.isWhole, r.ended)
			ran++
		}
		if one.closedUnanswered() && len(runs[one.id]) > 0 {
			lost++
			p.note("  log: %s", logLine(p.folder, one.id))
		}
		if one.took >= shortTimeoutMs*time.Millisecond && p.isTrouble {
			outlasted++
			if one.status == 0 || one.took > shortTimeoutMs*time.Millisecond+answerSlack {
				unanswered++
			}
		}
	}
	if ran == 0 {
		return false, fmt.Errorf("no upload reached an upstream")
	}
	p.note("LOST: %d of %d requests were passed on and their kept connections closed with no answer; allowed %d", lost, len(uploads), lostMost)
	isUnanswered := unanswered >= unansweredLeast && float64(unanswered) > unansweredShare*float64(outlasted)
	p.note("CONFIG: %d of %d requests that outlasted their time-out lack a final answer 0.5 s after it; broken: %t", unanswered, outlasted, isUnanswered)
	return lost > lostMost, nil
}
