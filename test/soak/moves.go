package soak

import (
	"fmt"
	"time"

	"github.com/stoneworks/stoneworks/test/machines"
)

// ================================================================
// Services that operators move to a new version of their servers, good or bad.
// ================================================================

const (
	// moveServers is how many servers of a new version start.
	moveServers = 3
	// badShare of a bad version's answers are failures, one in so many.
	badShare = 2
	// moveTimes is for how many times of its event's time an order lasts.
	moveTimes = 2
	// exposedShare and exposedSlack bound the requests that a bad version gets, of its service's and in
	// requests.
	exposedShare = 0.1
	exposedSlack = 50
)

// Move is an order to move a service to a new version.
type Move struct {
	Service string
	Version string
	// Servers are those of the new version.
	Servers []string
	Bad     bool
	From    time.Time
	// To is when the order's time was over.
	To time.Time
}

// moveService starts servers of a new version and orders that a service moves to it. One order in two is of a
// bad version. An order runs at a time for each service.
func (r *run) moveService(s *listedServer, e Event) {
	m := Move{Service: s.service, Version: fmt.Sprintf("v-%d", e.At.Milliseconds()), Bad: e.Target%2 == 0, From: time.Now()}
	d := min(moveTimes*e.For, r.Plan.Length-e.At)
	m.To = m.From.Add(d)
	runs := false
	r.note(func(h *History) {
		for _, other := range h.Moves {
			runs = runs || other.Service == m.Service && other.To.After(m.From)
		}
		if !runs {
			h.Moves = append(h.Moves, m)
		}
	})
	if runs {
		return
	}
	servers := r.startVersion(&m, s.zone)
	r.fleet.Store.Put("rollouts", m.Service, map[string]any{"service": m.Service, "target-version": m.Version, "duration-s": d.Seconds()})
	r.later(d, func() {
		r.fleet.Store.Delete("rollouts", m.Service)
		for _, server := range servers {
			r.fleet.PutServer(server, m.Service, s.zone, "draining", 0)
			r.note(func(h *History) { h.Departures = append(h.Departures, Departure{Server: server.ID, At: time.Now()}) })
		}
		time.Sleep(boundDrain)
		for _, server := range servers {
			r.fleet.Store.Delete("servers", server.ID)
			server.Close()
		}
	})
}

// startVersion starts the servers of a new version.
func (r *run) startVersion(m *Move, zone string) []*machines.Server {
	var list []*machines.Server
	for i := range moveServers {
		id := fmt.Sprintf("%s-%s-%d", m.Service, m.Version, i)
		server, err := machines.NewServer(r.Network+".100", id, slots, work)
		if err != nil {
			fmt.Fprintf(r.Out, "a server did not start: %v\n", err)
			continue
		}
		server.Version = m.Version
		if m.Bad {
			count := 0
			server.SetFault(func(*machines.Run) machines.Fault {
				if count++; count%badShare == 0 {
					return machines.Fail
				}
				return machines.NoFault
			})
		}
		list = append(list, server)
		r.note(func(h *History) {
			r.fleet.Servers[id] = server
			for j := range h.Moves {
				if h.Moves[j].Version == m.Version {
					h.Moves[j].Servers = append(h.Moves[j].Servers, id)
				}
			}
		})
		r.fleet.PutServer(server, m.Service, zone, "ready", 0)
	}
	return list
}

// exposure: a bad version gets a small part of the requests of its service for as long as its order lasts,
// whatever else happens.
func exposure(h *History) (found []string) {
	for i := range h.Moves {
		m := &h.Moves[i]
		if !m.Bad {
			continue
		}
		fresh, all := 0, 0
		isFresh := map[string]bool{}
		for _, id := range m.Servers {
			isFresh[id] = true
		}
		for server, list := range h.Arrivals {
			for _, a := range list {
				if a.At.Before(m.From) || a.At.After(m.To) {
					continue
				}
				all++
				if isFresh[server] {
					fresh++
				}
			}
		}
		if float64(fresh) > exposedShare*float64(all)+exposedSlack {
			found = append(found, fmt.Sprintf("%s of %s, which is bad, got %d of %d requests", m.Version, m.Service, fresh, all))
		}
	}
	return found
}
