package main

import (
	"fmt"
	"sync"
)

const (
	// uploadsEach is how many uploads each client sends, one after the other.
	uploadsEach = 4
	// longBody is the size of an upload, more than a box buffers.
	longBody = 3 << 20
)

// playEarlyAnswer sends uploads in chunks. With the disruption the upstreams begin their answers before
// they have read the body, keep the connection and read on.
//
// UNASKED: an upstream runs a request whose body has been changed, or gets other bytes where the rest
// of a body is due.
func playEarlyAnswer(p *play) (isBroken bool, err error) {
	for _, u := range p.upstreams {
		u.isEarly = func() bool { return p.isTrouble }
	}
	uploads, err := p.uploadFromAll(func(c *client, n int) *upload {
		return c.send(fmt.Sprintf("up-%s-%d", c.box.ip, n), randomBody(int64(n), longBody), true)
	})
	if err != nil {
		return false, err
	}
	runs := allRuns(p.upstreams)
	changed, same, broken := 0, 0, 0
	for _, one := range uploads {
		p.note("sent %s to %s: %d bytes, sha256 %x; the client got status %d, error %v", one.id, one.box, one.bytes, one.sum[:6], one.status, one.err)
		for _, r := range runs[one.id] {
			p.note("  %s: body whole %t, %d bytes, sha256 %x; %s", r.upstream, r.isWhole, r.bytes, r.sum[:6], r.ended)
			switch {
			case !r.isWhole:
				broken++
			case r.sum == one.sum:
				same++
			default:
				changed++
			}
		}
	}
	p.note("bodies that upstreams received as whole: %d as sent, %d changed; broken off: %d", same, changed, broken)
	if changed+same == 0 {
		return false, fmt.Errorf("no upload reached an upstream whole")
	}
	return changed > 0, nil
}

// uploadFromAll has one client for each box send its uploads, all at the same time. Each upload goes
// over a connection that has carried a request before.
func (p *play) uploadFromAll(send func(c *client, n int) *upload) ([]*upload, error) {
	var mu sync.Mutex
	var uploads []*upload
	var failure error
	var wg sync.WaitGroup
	for _, b := range p.boxes {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := &client{box: b}
			for n := range uploadsEach {
				err := c.open(fmt.Sprintf("first-%s-%d", b.ip, n))
				if err != nil {
					mu.Lock()
					failure = err
					mu.Unlock()
					return
				}
				one := send(c, n)
				mu.Lock()
				uploads = append(uploads, one)
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	return uploads, failure
}
