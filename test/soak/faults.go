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
// Fault injection: how each kind of event is carried out.
// ================================================================

// listedServer is an entry of the store's list with a proxy of its own. Several servers may
// serve it one after the other.
type listedServer struct {
	server   *machines.Server
	link     *faultproxy.Proxy
	service  string
	zone     string
	departed bool
	// historyKey identifies this incarnation of the server in the history, since an id may
	// have several.
	historyKey string
}

const (
	// delay is how long a slow link delays each piece of data.
	delay = 60 * time.Millisecond
	// blinkDivisor divides an event's duration to give the time for which the store does not
	// answer.
	blinkDivisor = 3
	// muteTimeout is the time until a silenced connection breaks.
	muteTimeout = 3 * time.Second
	// replaceAfter is the time until a server that left is replaced.
	replaceAfter = 800 * time.Millisecond
	// restartPause is the time until a process that exited is started again.
	restartPause = 200 * time.Millisecond
)

// addServer starts a server behind a proxy and lists it.
func (r *run) addServer(service, zone string) error {
	number := len(r.servers) + 1
	link, err := faultproxy.New(r.hostIn(zone, proxyHost)+":0", "")
	if err != nil {
		return err
	}
	link.KeepSource = true
	s := &listedServer{link: link, service: service, zone: zone}
	r.servers = append(r.servers, s)
	return r.serve(s, fmt.Sprintf("%s-%d", service, number))
}

// serve starts a server behind the proxy of an entry and lists it as ready.
func (r *run) serve(s *listedServer, id string) error {
	server, err := machines.NewServer(r.hostIn(s.zone, serverHost), id, slots, serviceTime)
	if err != nil {
		return err
	}
	server.Advertised, server.EarlyExtraBytes = s.link.Address(), earlyExtraBytes
	server.SetCrashOn(r.isCrashing, func() { r.replaceCrashed(s, server) })
	s.link.SetTarget(server.Address)
	r.update(func(h *History) {
		s.server, s.departed, s.historyKey = server, false, id
		for n := 2; r.fleet.Servers[s.historyKey] != nil; n++ {
			s.historyKey = fmt.Sprintf("%s#%d", id, n)
		}
		r.fleet.Servers[s.historyKey] = server
		h.ServiceOf[s.historyKey] = s.service
		h.RegionOf[s.historyKey] = r.Plan.regionOf(s.zone)
	})
	r.fleet.PutServer(server, s.service, s.zone, "ready", 0)
	return nil
}

// configure writes the next version of the configuration to the store, with that many routes more
// than clients use.
func (r *run) configure(more int) {
	r.configuring.Lock()
	defer r.configuring.Unlock()
	r.version++
	r.fleet.Customers = customersOf(r.version)
	all := append([]machines.Route{markerRoute(r.version)}, routes...)
	if r.Plan.hasRestrictions() {
		r.fleet.Customers = append(r.fleet.Customers, machines.Customer{Name: restrictedCustomer, Keys: []string{keyOf(restrictedCustomer)}, Regions: restrictedCustomerRegions})
		all = append(all, restrictedRoutes...)
	}
	r.fleet.Configure(r.version, append(all, manyRoutes(more, r.version)...)...)
	r.update(func(h *History) {
		h.Configurations = append(h.Configurations, AcceptedConfiguration{Version: r.version, At: time.Now()})
	})
}

// inject carries out one event. Whatever ends later runs in the background.
func (r *run) inject(e Event) {
	box := r.boxes[e.Target%len(r.boxes)]
	server := r.servers[e.Target%len(r.servers)]
	switch e.Kind {
	case BoxStop:
		r.endBox(box, e, syscall.SIGTERM)
	case BoxesStop:
		r.stopBusyBoxes(e)
	case EarlyAnswers:
		r.sendUploads(e)
	case BoxKill:
		r.endBox(box, e, syscall.SIGKILL)
	case BoxPause:
		r.pauseBox(box, e)
	case BoxReload:
		box.Signal(syscall.SIGHUP)
	case StoreBusy, StoreMany, StoreSilent, StoreReset:
		r.disruptStore(e)
	case StoreBlink:
		r.silenceStore(e)
	case StoreMute:
		r.beginFault(StoreMute, "")()
		r.store.Silence(muteTimeout)
	case LinkMute:
		r.beginFault(LinkMute, "")()
		server.link.Silence(muteTimeout)
	case StoreForgets:
		r.beginFault(StoreForgets, "")()
		r.fleet.Store.Compact()
	case StoreCut:
		r.cutFromStore(box, e)
	case ServerDrain, ServerCrash, ServerReuse:
		r.replaceServer(server, e)
	case ServerCorrupts:
		r.corruptAnswers(server, e)
	case LinkDelay, LinkReset, LinkSilent, LinkOneWay:
		r.disruptLink(server, e)
	case Configure:
		r.configure(0)
	case LongConfigurations:
		r.changeLongConfiguration(e)
	case Evacuate:
		r.evacuate(e)
	case RequestCrashes:
		r.sendCrashing(e)
	case ServerRestarts:
		r.restartServer(server)
	case ServerLimited:
		r.announceLimits(server, e)
	case ServerLeaves:
		r.announceLeaving(server, e)
	case ServerRests:
		r.rejectWithRetryAfter(server, e)
	case EntryForeign:
		r.writeForeign(server, e)
	case ServiceMoves:
		r.moveService(server, e)
	case StoreCopy:
		r.comeBackFromCopy(e)
	case BoxCut:
		r.cutFromServers(e)
	case RegionsCut:
		r.cutRegions(e)
	case OddHeads:
		r.sendOddHeads(e)
	}
}

// later calls do in the background after d.
func (r *run) later(d time.Duration, do func()) {
	r.injections.Go(func() {
		time.Sleep(d)
		do()
	})
}

// endBox stops a box with a signal and starts it again.
func (r *run) endBox(b *processes.Box, e Event, signal syscall.Signal) {
	end := r.beginFault(e.Kind, b.IP)
	exited := b.Exited()
	b.Signal(signal)
	r.injections.Go(func() {
		defer end()
		// A paused process handles SIGTERM only after it continues; one that still runs after
		// boundGrace is killed.
		select {
		case <-exited:
		case <-time.After(boundGrace):
			b.Signal(syscall.SIGKILL)
			<-exited
		}
		time.Sleep(restartPause)
		// Several events may have stopped the same incarnation; the first of them starts the
		// next.
		r.update(func(*History) {
			if b.Exited() == exited {
				_ = b.Start()
			}
		})
		_ = b.WaitReady(startTime)
	})
}

func (r *run) pauseBox(b *processes.Box, e Event) {
	end := r.beginFault(BoxPause, b.IP)
	b.Signal(syscall.SIGSTOP)
	r.later(e.Duration, func() {
		b.Signal(syscall.SIGCONT)
		end()
	})
}

// disruptStore makes the store answer 503 or 429, not answer, or reset connections, for some
// or all boxes.
func (r *run) disruptStore(e Event) {
	mode := map[Kind]machines.Mode{
		StoreBusy: machines.Busy, StoreMany: machines.TooMany, StoreSilent: machines.Silent, StoreReset: machines.Resetting,
	}[e.Kind]
	// Events with an even target affect all boxes, the others every second box.
	all := e.Target%2 == 0
	affected := map[string]bool{}
	for i, b := range r.boxes {
		affected[b.IP] = all || i%2 == e.Target/2%2
	}
	end := r.beginFault(e.Kind, "")
	r.fleet.Store.SetMode(func(ip, _ string) machines.Mode {
		if affected[ip] {
			return mode
		}
		return machines.Serving
	})
	r.later(e.Duration, func() {
		r.fleet.Store.SetMode(nil)
		end()
	})
}

// silenceStore makes the store not answer any box for a short time.
func (r *run) silenceStore(e Event) {
	end := r.beginFault(StoreBlink, "")
	r.fleet.Store.SetMode(func(string, string) machines.Mode { return machines.Silent })
	r.later(e.Duration/blinkDivisor, func() {
		r.fleet.Store.SetMode(nil)
		end()
	})
}

// cutFromStore silences the link between a box and the store in both directions.
func (r *run) cutFromStore(b *processes.Box, e Event) {
	end := r.beginFault(StoreCut, "")
	r.store.Set(func(source string) faultproxy.Fault {
		cut := source == b.IP
		return faultproxy.Fault{HoldRequests: cut, HoldAnswers: cut}
	})
	r.later(e.Duration, func() {
		r.store.Clear()
		end()
	})
}

// replaceServer makes a server leave, announced or not, and starts another one at its address.
func (r *run) replaceServer(s *listedServer, e Event) {
	if s.departed {
		return
	}
	s.departed = true
	old := s.server
	r.update(func(h *History) { h.Departures = append(h.Departures, Departure{Server: s.historyKey, At: time.Now()}) })
	wait := replaceAfter
	switch e.Kind {
	case ServerDrain:
		r.fleet.PutServer(old, s.service, s.zone, "draining", 0)
		wait += boundDrain
	case ServerCrash:
		old.Close()
		r.fleet.Store.Delete("servers", old.ID)
	case ServerReuse:
		// The other service gets the address at once, while the old entry is still listed.
		old.Close()
		r.update(func(*History) {
			if s.service == services[0] {
				s.service = services[1]
			} else {
				s.service = services[0]
			}
		})
		wait = 0
	}
	id := fmt.Sprintf("%s-%d", old.ID, e.At.Milliseconds())
	r.later(wait, func() {
		if err := r.serve(s, id); err != nil {
			fmt.Fprintf(r.Out, "starting a server failed: %v\n", err)
		}
		r.fleet.Store.Delete("servers", old.ID)
		old.Close()
	})
}

// corruptions are the ways in which servers corrupt answers.
var corruptions = []machines.Fault{
	machines.CutBody, machines.CutAnswer, machines.Unframed, machines.Extra, machines.AnotherAnswerFirst, machines.Garbage, machines.NoAnswer,
}

// corruptOneIn is the interval of corrupted answers: one in so many.
const corruptOneIn = 4

func (r *run) corruptAnswers(s *listedServer, e Event) {
	end := r.beginFault(ServerCorrupts, s.server.ID)
	server, count := s.server, e.Target
	server.SetFault(func(*machines.Run) machines.Fault {
		count++
		if count%corruptOneIn != 0 {
			return machines.NoFault
		}
		return corruptions[count/corruptOneIn%len(corruptions)]
	})
	r.later(e.Duration, func() {
		server.SetFault(nil)
		end()
	})
}

// disruptLink disrupts the link to a server for all boxes or for one.
func (r *run) disruptLink(s *listedServer, e Event) {
	fault := map[Kind]faultproxy.Fault{
		LinkDelay: {Delay: delay}, LinkReset: {Reset: true}, LinkSilent: {HoldAnswers: true, HoldRequests: true}, LinkOneWay: {HoldAnswers: true},
	}[e.Kind]
	only := ""
	if e.Target%2 == 1 {
		only = r.boxes[e.Target/2%len(r.boxes)].IP
	}
	end := r.beginFault(e.Kind, "")
	s.link.Set(func(source string) faultproxy.Fault {
		if only != "" && source != only {
			return faultproxy.Fault{}
		}
		return fault
	})
	r.later(e.Duration, func() {
		s.link.Clear()
		end()
	})
}

func (r *run) evacuate(e Event) {
	zone := r.Plan.Zones[e.Target%len(r.Plan.Zones)].Zone
	r.fleet.Store.Put("evacuations", zone, map[string]any{})
	r.later(e.Duration, func() { r.fleet.Store.Delete("evacuations", zone) })
}
