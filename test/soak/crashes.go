package soak

import (
	"fmt"
	"sync"
	"time"

	"github.com/stoneworks/stoneworks/test/machines"
)

// ================================================================
// Requests that crash the servers that run them, servers that restart under their ids, and
// entries written by another writer.
// ================================================================

const (
	// crashingPause is the time between two attempts of a crashing request, which go to the
	// boxes in turn; crashingFactor times the event's duration is how long they are sent.
	crashingPause  = 60 * time.Millisecond
	crashingFactor = 3
	// entryLapse is how long the entry of a crashed server stays listed.
	entryLapse = 1500 * time.Millisecond
)

// crashingTargets are the targets whose requests currently crash servers.
type crashingTargets struct {
	mu  sync.Mutex
	now map[string]bool
}

func (d *crashingTargets) set(target string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.now == nil {
		d.now = map[string]bool{}
	}
	d.now[target] = true
}

func (r *run) isCrashing(target string) bool {
	r.crashing.mu.Lock()
	defer r.crashing.mu.Unlock()
	return r.crashing.now[target]
}

// sendCrashing repeatedly sends a request that crashes the servers that run it.
func (r *run) sendCrashing(e Event) {
	target := fmt.Sprintf("/read/deadly-%d", e.Target)
	r.crashing.set(target)
	r.update(func(h *History) { h.CrashingTargets = append(h.CrashingTargets, target) })
	end := min(crashingFactor*e.Duration, r.Plan.Length-e.At)
	until := time.Now().Add(end)
	r.injections.Go(func() {
		for i := e.Target; time.Now().Before(until); i++ {
			b := r.boxes[i%len(r.boxes)]
			c := &machines.Client{Address: b.Clients()}
			q := Request{
				ID: newID(), Kind: "safe", Method: "GET", Target: target, Box: b.IP, Incarnation: b.Incarnation(),
				Timeout: time.Duration(routes[0].TimeoutMS) * time.Millisecond, Sent: time.Now(),
			}
			r.update(func(h *History) { h.SideRequests = append(h.SideRequests, q) })
			extra := customerHeaders(keyOf(usualCustomer)) + fmt.Sprintf("X-Stoneworks-Affinity-Key: %d\r\n", e.Target%keys)
			c.Do(q.Method, q.Target, q.ID, "", extra)
			c.Close()
			time.Sleep(crashingPause)
		}
	})
}

// restartServer stops a server and starts another one under its id.
func (r *run) restartServer(s *listedServer) {
	server, departed := s.server, false
	r.update(func(*History) { departed, s.departed = s.departed, true })
	if departed {
		return
	}
	s.link.Down()
	server.Close()
	r.startAgain(s, server.ID, func() {})
}

// replaceCrashed starts a server in place of one that a request has crashed. It alternates
// between the same id and a new id; with a new id the old entry stays listed until it lapses.
func (r *run) replaceCrashed(s *listedServer, server *machines.Server) {
	departed, number := false, 0
	r.update(func(*History) { departed, s.departed, number = s.departed, true, len(r.fleet.Servers) })
	if departed {
		return
	}
	s.link.Down()
	if number%2 == 0 {
		r.startAgain(s, server.ID, func() {})
		return
	}
	r.startAgain(s, fmt.Sprintf("%s-%d", server.ID, number), func() {
		time.Sleep(entryLapse - replaceAfter)
		r.fleet.Store.Delete("servers", server.ID)
	})
}

// startAgain starts a server in place of one that has stopped, then calls then.
func (r *run) startAgain(s *listedServer, id string, then func()) {
	r.later(replaceAfter, func() {
		if err := r.serve(s, id); err != nil {
			fmt.Fprintf(r.Out, "starting a server failed: %v\n", err)
			return
		}
		if err := s.link.Up(); err != nil {
			fmt.Fprintf(r.Out, "reopening a server's address failed: %v\n", err)
		}
		then()
	})
}

// foreignEntries are entries that are not valid server entries.
var foreignEntries = []any{
	"text", 7, nil, []int{1}, map[string]any{}, map[string]any{"service": "shop", "state": "ready"},
	map[string]any{"service": 7, "address": true, "zone": "east-a", "version": "v1", "slots": "many", "state": "tired", "cold-remaining-ms": 0, "call-seq": 1},
}

// writeForeign writes invalid entries, as another writer might, for half of the events also in
// place of a server's entry.
func (r *run) writeForeign(s *listedServer, e Event) {
	spec := foreignEntries[e.Target%len(foreignEntries)]
	name := fmt.Sprintf("foreign-%d", e.Target)
	r.fleet.Store.Put("servers", name, spec)
	server, departed := s.server, false
	r.update(func(*History) { departed = s.departed })
	replaced := e.Target%2 == 1 && !departed
	if replaced {
		r.fleet.Store.Put("servers", server.ID, spec)
	}
	r.later(e.Duration, func() {
		r.fleet.Store.Delete("servers", name)
		again := false
		r.update(func(*History) { again = replaced && s.server == server && !s.departed })
		if again {
			r.fleet.PutServer(server, s.service, s.zone, "ready", 0)
		}
	})
}
