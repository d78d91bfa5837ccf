package soak

import (
	"fmt"
	"sync"
	"time"

	"github.com/stoneworks/stoneworks/test/machines"
)

// ================================================================
// Requests that end the servers that run them, servers that start again under their
// ids, and entries of another writer.
// ================================================================

const (
	// deadlyPause is how often a deadly request comes again, in turn to each box, and
	// deadlyTimes for how many times of its event's time.
	deadlyPause = 60 * time.Millisecond
	deadlyTimes = 3
	// lapse is after what time the entry of a server goes that has ended.
	lapse = 1500 * time.Millisecond
)

// deadlyTargets are the targets that end servers now.
type deadlyTargets struct {
	mu  sync.Mutex
	now map[string]bool
}

func (d *deadlyTargets) set(target string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.now == nil {
		d.now = map[string]bool{}
	}
	d.now[target] = true
}

func (r *run) isDeadly(target string) bool {
	r.deadly.mu.Lock()
	defer r.deadly.mu.Unlock()
	return r.deadly.now[target]
}

// sendDeadly has a client send a request again and again that ends the servers that run it.
func (r *run) sendDeadly(e Event) {
	target := fmt.Sprintf("/read/deadly-%d", e.Target)
	r.deadly.set(target)
	r.note(func(h *History) { h.Deadly = append(h.Deadly, target) })
	end := min(deadlyTimes*e.For, r.Plan.Length-e.At)
	until := time.Now().Add(end)
	r.striking.Go(func() {
		for i := e.Target; time.Now().Before(until); i++ {
			b := r.boxes[i%len(r.boxes)]
			c := &machines.Client{Address: b.Clients()}
			q := Request{
				ID: newID(), Kind: "safe", Method: "GET", Target: target, Box: b.IP, Life: b.Life(),
				Timeout: time.Duration(routes[0].TimeoutMS) * time.Millisecond, Sent: time.Now(),
			}
			r.note(func(h *History) { h.Left = append(h.Left, q) })
			extra := claims(keyOf(usualCustomer)) + fmt.Sprintf("X-Stoneworks-Affinity-Key: %d\r\n", e.Target%keys)
			c.Do(q.Method, q.Target, q.ID, "", extra)
			c.Close()
			time.Sleep(deadlyPause)
		}
	})
}

// endServer ends a server that starts again under its id.
func (r *run) endServer(s *listedServer) {
	server, left := s.server, false
	r.note(func(*History) { left, s.left = s.left, true })
	if left {
		return
	}
	s.link.Down()
	server.Close()
	r.startAgain(s, server.ID, func() {})
}

// serverEnded starts another server for one that a request has ended: in turn under its id,
// and under another one while the old entry lapses.
func (r *run) serverEnded(s *listedServer, server *machines.Server) {
	left, number := false, 0
	r.note(func(*History) { left, s.left, number = s.left, true, len(r.fleet.Servers) })
	if left {
		return
	}
	s.link.Down()
	if number%2 == 0 {
		r.startAgain(s, server.ID, func() {})
		return
	}
	r.startAgain(s, fmt.Sprintf("%s-%d", server.ID, number), func() {
		time.Sleep(lapse - replaceAfter)
		r.fleet.Store.Delete("servers", server.ID)
	})
}

// startAgain starts a server in the place of one that has ended, and does something then.
func (r *run) startAgain(s *listedServer, id string, then func()) {
	r.later(replaceAfter, func() {
		if err := r.serve(s, id); err != nil {
			fmt.Fprintf(r.Out, "a server did not start: %v\n", err)
			return
		}
		if err := s.link.Up(); err != nil {
			fmt.Fprintf(r.Out, "a server's address is not free: %v\n", err)
		}
		then()
	})
}

// foreign are entries that name no server.
var foreign = []any{
	"text", 7, nil, []int{1}, map[string]any{}, map[string]any{"service": "shop", "state": "ready"},
	map[string]any{"service": 7, "address": true, "zone": "east-a", "version": "v1", "slots": "many", "state": "tired", "cold-remaining-ms": 0, "call-seq": 1},
}

// writeForeign has another writer write entries, also in the place of a server's.
func (r *run) writeForeign(s *listedServer, e Event) {
	spec := foreign[e.Target%len(foreign)]
	name := fmt.Sprintf("foreign-%d", e.Target)
	r.fleet.Store.Put("servers", name, spec)
	server, left := s.server, false
	r.note(func(*History) { left = s.left })
	replaced := e.Target%2 == 1 && !left
	if replaced {
		r.fleet.Store.Put("servers", server.ID, spec)
	}
	r.later(e.For, func() {
		r.fleet.Store.Delete("servers", name)
		again := false
		r.note(func(*History) { again = replaced && s.server == server && !s.left })
		if again {
			r.fleet.PutServer(server, s.service, s.zone, "ready", 0)
		}
	})
}
