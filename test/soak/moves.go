package soak

import (
	"fmt"
	"strings"
	"time"

	"github.com/stoneworks/stoneworks/test/machines"
)

// ================================================================
// Rollouts of services to a new version of their servers, good or bad.
// ================================================================

const (
	// moveServers is the number of servers of a new version.
	moveServers = 3
	// failOneIn is the interval of failures among a bad version's answers: one in so many.
	failOneIn = 2
	// moveFactor times the event's duration is how long a rollout lasts.
	moveFactor = 2
	// exposureShare and exposureSlack bound the requests that a bad version gets, as a share
	// of all requests during the rollout and in requests on top of it.
	exposureShare = 0.1
	exposureSlack = 50
)

// Move is a rollout of a service to a new version.
type Move struct {
	Service string
	Version string
	// Servers are the ids of the new version's servers.
	Servers []string
	Bad     bool
	From    time.Time
	// To is when the rollout ends, and Status the order's status in the store by then.
	To     time.Time
	Status string
}

// moveService starts servers of a new version and a rollout of the service to it. Half of the
// rollouts are of a bad version. A service has one rollout at a time.
func (r *run) moveService(s *listedServer, e Event) {
	m := Move{Service: s.service, Version: fmt.Sprintf("v-%d", e.At.Milliseconds()), Bad: e.Target%2 == 0, From: time.Now()}
	d := min(moveFactor*e.Duration, r.Plan.Length-e.At)
	m.To = m.From.Add(d)
	running := false
	r.update(func(h *History) {
		for _, other := range h.Moves {
			running = running || other.Service == m.Service && other.To.After(m.From)
		}
		if !running {
			h.Moves = append(h.Moves, m)
		}
	})
	if running {
		return
	}
	servers := r.startVersion(&m, s.zone)
	r.fleet.Store.Put("rollouts", m.Service, map[string]any{"service": m.Service, "target-version": m.Version, "duration-s": d.Seconds()})
	r.later(d, func() {
		status := r.fleet.Store.StatusOf("rollouts", m.Service)
		r.fleet.Store.Delete("rollouts", m.Service)
		r.updateMove(&m, func(m *Move) { m.Status = status })
		for _, server := range servers {
			r.fleet.PutServer(server, m.Service, s.zone, "draining", 0)
			r.update(func(h *History) { h.Departures = append(h.Departures, Departure{Server: server.ID, At: time.Now()}) })
		}
		time.Sleep(boundDrain)
		for _, server := range servers {
			r.fleet.Store.Delete("servers", server.ID)
			server.Close()
		}
	})
}

// startVersion starts the servers of a new version and lists them as ready.
func (r *run) startVersion(m *Move, zone string) []*machines.Server {
	var list []*machines.Server
	for i := range moveServers {
		id := fmt.Sprintf("%s-%s-%d", m.Service, m.Version, i)
		server, err := machines.NewServer(r.hostIn(zone, serverHost), id, slots, serviceTime)
		if err != nil {
			fmt.Fprintf(r.Out, "starting a server failed: %v\n", err)
			continue
		}
		server.Version = m.Version
		if m.Bad {
			count := 0
			server.SetFault(func(*machines.Run) machines.Fault {
				if count++; count%failOneIn == 0 {
					return machines.Fail
				}
				return machines.NoFault
			})
		}
		list = append(list, server)
		r.update(func(h *History) {
			r.fleet.Servers[id] = server
			h.ServiceOf[id] = m.Service
			h.RegionOf[id] = r.Plan.regionOf(zone)
		})
		r.updateMove(m, func(m *Move) { m.Servers = append(m.Servers, id) })
		r.fleet.PutServer(server, m.Service, zone, "ready", 0)
	}
	return list
}

// updateMove changes the record of a rollout.
func (r *run) updateMove(m *Move, change func(m *Move)) {
	r.update(func(h *History) {
		for i := range h.Moves {
			if h.Moves[i].Service == m.Service && h.Moves[i].Version == m.Version {
				change(&h.Moves[i])
			}
		}
	})
}

// completeBad finds bad versions whose rollout is complete.
func completeBad(h *History) (found []string) {
	for i := range h.Moves {
		m := &h.Moves[i]
		if m.Bad && strings.Contains(m.Status, `"state":"complete"`) && strings.Contains(m.Status, `"`+m.Version+`"`) {
			found = append(found, fmt.Sprintf("the rollout of %s to the bad version %s is complete: %s", m.Service, m.Version, m.Status))
		}
	}
	return found
}

// exposure finds bad versions that got more than a small part of all requests for their service
// during their rollout, whatever other faults there were.
func exposure(h *History) (found []string) {
	for i := range h.Moves {
		m := &h.Moves[i]
		if !m.Bad {
			continue
		}
		exposed, all := 0, 0
		isNew := map[string]bool{}
		for _, id := range m.Servers {
			isNew[id] = true
		}
		for server, list := range h.Arrivals {
			if h.ServiceOf[server] != m.Service {
				continue
			}
			for _, a := range list {
				if a.At.Before(m.From) || a.At.After(m.To) {
					continue
				}
				all++
				if isNew[server] {
					exposed++
				}
			}
		}
		if float64(exposed) > exposureShare*float64(all)+exposureSlack {
			found = append(found, fmt.Sprintf("bad version %s of %s got %d of %d requests", m.Version, m.Service, exposed, all))
		}
	}
	return found
}
