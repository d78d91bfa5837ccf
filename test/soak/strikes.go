package soak

import (
	"fmt"
	"syscall"
	"time"

	"github.com/stoneworks/stoneworks/test/faultproxy"
	"github.com/stoneworks/stoneworks/test/machines"
	"github.com/stoneworks/stoneworks/test/processes"
)

// ================================================================
// Strikes: each kind of event, done from outside.
// ================================================================

// listedServer is an entry in the store's list, behind a proxy of its own. It
// may be served by one server after another.
type listedServer struct {
	server  *machines.Server
	link    *faultproxy.Proxy
	service string
	zone    string
	left    bool
	// key names the server's life in the history: an id may have several.
	key string
}

const (
	// delay is what a slow link adds to each piece of data.
	delay = 60 * time.Millisecond
	// blinkShare is which part of an event's time a store is silent for a moment.
	blinkShare = 3
	// muteFound is after what time a connection that has gone silent breaks.
	muteFound = 3 * time.Second
	// replaceAfter is when a server that left has a successor.
	replaceAfter = 800 * time.Millisecond
	// restartPause is the pause before a process that ended starts again.
	restartPause = 200 * time.Millisecond
)

// addServer starts a server behind a proxy and lists it.
func (r *run) addServer(service, zone string) error {
	number := len(r.servers) + 1
	link, err := faultproxy.New(fmt.Sprintf("%s.150:0", r.Network), "")
	if err != nil {
		return err
	}
	link.KeepSource = true
	s := &listedServer{link: link, service: service, zone: zone}
	r.servers = append(r.servers, s)
	return r.serve(s, fmt.Sprintf("%s-%d", service, number))
}

// serve puts a new server behind the proxy of an entry.
func (r *run) serve(s *listedServer, id string) error {
	server, err := machines.NewServer(r.Network+".100", id, slots, work)
	if err != nil {
		return err
	}
	server.Advertised = s.link.Address()
	server.SetCrashOn(r.isDeadly, func() { r.serverEnded(s, server) })
	s.link.SetTarget(server.Address)
	r.note(func(*History) {
		s.server, s.left, s.key = server, false, id
		for n := 2; r.fleet.Servers[s.key] != nil; n++ {
			s.key = fmt.Sprintf("%s#%d", id, n)
		}
		r.fleet.Servers[s.key] = server
	})
	r.fleet.PutServer(server, s.service, s.zone, "ready", 0)
	return nil
}

// configure puts the next configuration in the store.
func (r *run) configure() {
	r.version++
	r.fleet.Customers = customersOf(r.version)
	r.fleet.Configure(r.version, append([]machines.Route{markerRoute(r.version)}, routes...)...)
	r.note(func(h *History) {
		h.Configurations = append(h.Configurations, Acknowledged{Version: r.version, At: time.Now()})
	})
}

// strike does one event. What ends later is done in the background.
func (r *run) strike(e Event) {
	box := r.boxes[e.Target%len(r.boxes)]
	server := r.servers[e.Target%len(r.servers)]
	switch e.Kind {
	case BoxStop:
		r.endBox(box, e, syscall.SIGTERM)
	case BoxKill:
		r.endBox(box, e, syscall.SIGKILL)
	case BoxPause:
		r.pauseBox(box, e)
	case BoxReload:
		box.Signal(syscall.SIGHUP)
	case StoreBusy, StoreMany, StoreSilent, StoreReset:
		r.troubleStore(e)
	case StoreBlink:
		r.silenceStore(e)
	case StoreMute:
		r.open(StoreMute, "")()
		r.store.Silence(muteFound)
	case LinkMute:
		r.open(LinkMute, "")()
		server.link.Silence(muteFound)
	case StoreForgets:
		r.open(StoreForgets, "")()
		r.fleet.Store.Compact()
	case StoreCut:
		r.cutFromStore(box, e)
	case ServerDrain, ServerCrash, ServerReuse:
		r.replaceServer(server, e)
	case ServerSpoils:
		r.spoilAnswers(server, e)
	case LinkDelay, LinkReset, LinkSilent, LinkOneWay:
		r.harmLink(server, e)
	case Configure:
		r.configure()
	case Evacuate:
		r.evacuate(e)
	case RequestDeadly:
		r.sendDeadly(e)
	case ServerReborn:
		r.endServer(server)
	case ServerLimited:
		r.nameLimits(server, e)
	case ServerLeaves:
		r.leaveInAnswers(server, e)
	case ServerRests:
		r.askForRest(server, e)
	case EntryForeign:
		r.writeForeign(server, e)
	case ServiceMoves:
		r.moveService(server, e)
	}
}

// later does something when the event is over.
func (r *run) later(d time.Duration, do func()) {
	r.striking.Go(func() {
		time.Sleep(d)
		do()
	})
}

// endBox ends a box and starts it again.
func (r *run) endBox(b *processes.Box, e Event, signal syscall.Signal) {
	end := r.open(e.Kind, b.IP)
	exited := b.Exited()
	b.Signal(signal)
	r.striking.Go(func() {
		defer end()
		// A paused process takes a signal only when it goes on.
		select {
		case <-exited:
		case <-time.After(boundGrace):
			b.Signal(syscall.SIGKILL)
			<-exited
		}
		time.Sleep(restartPause)
		// Of several that ended the same life one starts the next.
		r.note(func(*History) {
			if b.Exited() == exited {
				_ = b.Start()
			}
		})
		_ = b.WaitReady(startTime)
	})
}

func (r *run) pauseBox(b *processes.Box, e Event) {
	end := r.open(BoxPause, b.IP)
	b.Signal(syscall.SIGSTOP)
	r.later(e.For, func() {
		b.Signal(syscall.SIGCONT)
		end()
	})
}

// troubleStore has the store turn some or all boxes away.
func (r *run) troubleStore(e Event) {
	mode := map[Kind]machines.Mode{
		StoreBusy: machines.Busy, StoreMany: machines.TooMany, StoreSilent: machines.Silent, StoreReset: machines.Resetting,
	}[e.Kind]
	// Every other such event strikes all boxes, the others every second one.
	all := e.Target%2 == 0
	struck := map[string]bool{}
	for i, b := range r.boxes {
		struck[b.IP] = all || i%2 == e.Target/2%2
	}
	end := r.open(e.Kind, "")
	r.fleet.Store.SetMode(func(ip, _ string) machines.Mode {
		if struck[ip] {
			return mode
		}
		return machines.Serving
	})
	r.later(e.For, func() {
		r.fleet.Store.SetMode(nil)
		end()
	})
}

// silenceStore has the store say nothing to any box for a moment.
func (r *run) silenceStore(e Event) {
	end := r.open(StoreBlink, "")
	r.fleet.Store.SetMode(func(string, string) machines.Mode { return machines.Silent })
	r.later(e.For/blinkShare, func() {
		r.fleet.Store.SetMode(nil)
		end()
	})
}

// cutFromStore silences the link between a box and the store.
func (r *run) cutFromStore(b *processes.Box, e Event) {
	end := r.open(StoreCut, "")
	r.store.Set(func(source string) faultproxy.Fault {
		cut := source == b.IP
		return faultproxy.Fault{HoldRequests: cut, HoldAnswers: cut}
	})
	r.later(e.For, func() {
		r.store.Clear()
		end()
	})
}

// replaceServer has a server leave, announced or not, and another one come at
// its address.
func (r *run) replaceServer(s *listedServer, e Event) {
	if s.left {
		return
	}
	s.left = true
	old := s.server
	r.note(func(h *History) { h.Departures = append(h.Departures, Departure{Server: s.key, At: time.Now()}) })
	wait := replaceAfter
	switch e.Kind {
	case ServerDrain:
		r.fleet.PutServer(old, s.service, s.zone, "draining", 0)
		wait += boundDrain
	case ServerCrash:
		old.Close()
		r.fleet.Store.Delete("servers", old.ID)
	case ServerReuse:
		// The address goes to another service at once, and the entry is late.
		old.Close()
		if s.service == services[0] {
			s.service = services[1]
		} else {
			s.service = services[0]
		}
		wait = 0
	}
	id := fmt.Sprintf("%s-%d", old.ID, e.At.Milliseconds())
	r.later(wait, func() {
		if err := r.serve(s, id); err != nil {
			fmt.Fprintf(r.Out, "a server did not start: %v\n", err)
		}
		r.fleet.Store.Delete("servers", old.ID)
		old.Close()
	})
}

// spoils are the ways in which servers spoil answers.
var spoils = []machines.Fault{
	machines.CutBody, machines.CutAnswer, machines.Unframed, machines.Extra, machines.AnotherAnswerFirst, machines.Garbage, machines.NoAnswer,
}

// spoilShare of a spoiled server's answers are spoiled, one in so many.
const spoilShare = 4

func (r *run) spoilAnswers(s *listedServer, e Event) {
	end := r.open(ServerSpoils, s.server.ID)
	server, count := s.server, e.Target
	server.SetFault(func(*machines.Run) machines.Fault {
		count++
		if count%spoilShare != 0 {
			return machines.NoFault
		}
		return spoils[count/spoilShare%len(spoils)]
	})
	r.later(e.For, func() {
		server.SetFault(nil)
		end()
	})
}

// harmLink harms the link of every box, or of one, to a server.
func (r *run) harmLink(s *listedServer, e Event) {
	fault := map[Kind]faultproxy.Fault{
		LinkDelay: {Delay: delay}, LinkReset: {Reset: true}, LinkSilent: {HoldAnswers: true, HoldRequests: true}, LinkOneWay: {HoldAnswers: true},
	}[e.Kind]
	only := ""
	if e.Target%2 == 1 {
		only = r.boxes[e.Target/2%len(r.boxes)].IP
	}
	end := r.open(e.Kind, "")
	s.link.Set(func(source string) faultproxy.Fault {
		if only != "" && source != only {
			return faultproxy.Fault{}
		}
		return fault
	})
	r.later(e.For, func() {
		s.link.Clear()
		end()
	})
}

func (r *run) evacuate(e Event) {
	zone := machines.Zones[e.Target%len(machines.Zones)].Zone
	r.fleet.Store.Put("evacuations", zone, map[string]any{})
	r.later(e.For, func() { r.fleet.Store.Delete("evacuations", zone) })
}
