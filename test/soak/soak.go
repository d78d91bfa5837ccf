// Package soak runs boxes as separate processes against stand-ins of the users' machines,
// injects faults while clients send requests, and checks the guarantees of the system. The
// faults are drawn from a seed.
package soak

import (
	"flag"
	"fmt"
	"io"
	"maps"
	"math/rand"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/stoneworks/stoneworks/test/addresses"
	"github.com/stoneworks/stoneworks/test/faultproxy"
	"github.com/stoneworks/stoneworks/test/machines"
	"github.com/stoneworks/stoneworks/test/processes"
)

// The deployment and the phases of a run.
const (
	minServers    = 2 // of each service in each zone
	slots         = 4
	serviceTime   = 15 * time.Millisecond
	startTime     = 15 * time.Second
	settleTime    = 3500 * time.Millisecond
	recoveryTime  = 1500 * time.Millisecond
	lateRunTime   = 300 * time.Millisecond
	defaultLength = 14 * time.Second
)

var services = []string{"shop", "desk"}

// serversEach returns the number of servers of each service in a zone: one for each box of the
// zone, and at least minServers. The load grows with the boxes too; with fewer servers it would
// exceed their slots, and boxes would refuse requests without any fault.
func serversEach(p *Plan) int { return max(minServers, p.Boxes/len(p.Zones)) }

// Options are the options of one run.
type Options struct {
	Bin string
	// Dir is the folder for settings and logs.
	Dir string
	// Network is the first three octets of all addresses of the run.
	Network string
	Plan    *Plan
	Out     io.Writer
}

// run is the state of one run.
type run struct {
	Options
	recorder
	crashing crashingTargets
	fleet    *machines.Fleet
	boxes    []*processes.Box
	store    *faultproxy.Proxy
	servers  []*listedServer
	// cuts counts the events that cut a region from another.
	cuts   map[regionCut]int
	random *rand.Rand
	// configuring is held while version changes.
	configuring sync.Mutex
	version     int
	began       time.Time
	injections  conc.WaitGroup
}

// Run plays one plan and returns the violations. The error says that the run could not be
// played.
func Run(o Options) ([]Violation, error) {
	r := &run{Options: o, random: rand.New(rand.NewSource(o.Plan.Seed)), cuts: map[regionCut]int{}}
	r.history.ServiceOf, r.history.RegionOf = map[string]string{}, map[string]string{}
	r.history.PeakMemoryMB, r.history.MachineMB = map[string]int{}, o.Plan.MemoryMB
	defer r.close()
	if err := r.prepare(); err != nil {
		return nil, err
	}
	r.play()
	h := r.collect()
	found := FindViolations(h)
	fmt.Fprintf(o.Out, "seed %d: %d events, %d requests (%s), %d probes, at most %d MB, %d violations\n",
		o.Plan.Seed, len(o.Plan.Events), len(h.Requests), statuses(h), len(h.Probes), h.peakMemoryMB(), len(found))
	return found, nil
}

// statuses returns the number of requests by status; status 0 is a request without an answer.
func statuses(h *History) string {
	counts := map[int]int{}
	for _, q := range h.Requests {
		counts[q.Status]++
	}
	var parts []string
	for _, status := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%d: %d", status, counts[status]))
	}
	return strings.Join(parts, ", ")
}

func (r *run) close() {
	for _, b := range r.boxes {
		b.Kill()
	}
	for _, s := range r.servers {
		s.link.Clear()
		s.link.Close()
	}
	if r.store != nil {
		r.store.Clear()
		r.store.Close()
	}
	if r.fleet != nil {
		r.fleet.Close()
	}
}

// prepare starts the store, the servers, the proxies and the boxes.
func (r *run) prepare() (err error) {
	if r.fleet, err = machines.NewFleet(r.Network, io.Discard); err != nil {
		return err
	}
	if r.store, err = faultproxy.New(r.Network+".201:0", r.fleet.Store.Address); err != nil {
		return err
	}
	r.store.KeepSource = true
	r.fleet.MaxBody = maxBody
	for _, z := range r.Plan.Zones {
		for _, service := range r.Plan.servicesIn(z.Zone) {
			for range serversEach(r.Plan) {
				if err := r.addServer(service, z.Zone); err != nil {
					return err
				}
			}
		}
	}
	r.configure(0)
	options := processes.Options{
		Bin: r.Bin, Dir: r.Dir, Network: r.Network, Store: r.store.Address(), Zones: r.Plan.Zones,
		CutLinks: true, CutBoxes: r.Plan.hasRestrictions(),
		Drain: boundDrain, Contact: boundContact, Grace: boundGrace, MemoryMB: r.Plan.MemoryMB,
	}
	for i := range r.Plan.Boxes {
		b, err := processes.NewBox(options, r.Plan.Zones[i%len(r.Plan.Zones)].Zone, i+1)
		if err != nil {
			return err
		}
		if err := b.Start(); err != nil {
			return err
		}
		r.boxes = append(r.boxes, b)
	}
	for _, b := range r.boxes {
		if err := b.WaitReady(startTime); err != nil {
			return err
		}
	}
	return nil
}

// play injects the faults while clients send requests, then lets the system recover.
func (r *run) play() {
	r.began = time.Now()
	done := make(chan struct{})
	var watch conc.WaitGroup
	watch.Go(func() { r.watchMemory(done) })
	defer watch.Wait()
	defer close(done)
	end := r.began.Add(r.Plan.Length)
	var clients conc.WaitGroup
	r.startClients(&clients, end)
	for _, e := range r.Plan.Events {
		time.Sleep(time.Until(r.began.Add(e.At)))
		r.inject(e)
	}
	clients.Wait()
	r.injections.Wait()
	for _, b := range r.boxes {
		_ = b.WaitReady(startTime)
	}
	time.Sleep(settleTime)
	r.measureRecovery()
	time.Sleep(lateRunTime)
}

// measureRecovery sends requests after all faults are over and counts the answered ones.
func (r *run) measureRecovery() {
	before := 0
	r.update(func(h *History) { before = len(h.Requests) })
	var clients conc.WaitGroup
	r.startClients(&clients, time.Now().Add(recoveryTime))
	clients.Wait()
	r.update(func(h *History) {
		for _, q := range h.Requests[before:] {
			h.Recovery.Sent++
			if q.Status == 200 {
				h.Recovery.Answered++
			}
		}
	})
}

// collect adds the records of the servers and the logs of the boxes to the history.
func (r *run) collect() *History {
	h := &r.history
	for _, b := range r.boxes {
		h.Boxes = append(h.Boxes, b.IP)
		h.RegionOf[b.IP] = r.Plan.regionOf(b.Zone)
		for _, at := range b.Exits() {
			h.Exits = append(h.Exits, Exit{Box: b.IP, At: at})
		}
	}
	h.Runs = map[string][]machines.Run{}
	h.Arrivals = map[string][]machines.Arrival{}
	h.Bodies = map[string][]machines.ReceivedBody{}
	h.LeavingHeaders = map[string][]machines.SentHeader{}
	h.RetryAfterHeaders = map[string][]machines.SentHeader{}
	for id, s := range r.fleet.Servers {
		h.Runs[id] = s.Runs()
		h.Arrivals[id] = s.ArrivalLog()
		h.Bodies[id] = s.Bodies()
		h.LeavingHeaders[id] = s.SentHeaders(machines.LeavingHeader)
		h.RetryAfterHeaders[id] = s.SentHeaders(machines.RetryAfterHeader)
	}
	for i := range h.AnnouncedLimits {
		h.AnnouncedLimits[i].Announcements = r.fleet.Servers[h.AnnouncedLimits[i].Server].SentHeaders(machines.LimitHeader)
	}
	h.KeysLogged = r.keysLogged()
	return h
}

// keysLogged returns the lines of the boxes' logs that contain a key.
func (r *run) keysLogged() (found []string) {
	for _, b := range r.boxes {
		text, err := os.ReadFile(filepath.Join(r.Dir, b.Name+".log"))
		if err != nil {
			found = append(found, err.Error())
		}
		for _, line := range strings.Split(string(text), "\n") {
			if strings.Contains(line, keyPrefix) {
				found = append(found, "logged: "+line)
			}
		}
	}
	return found
}

// ----------------------------------------------------------------
// The command
// ----------------------------------------------------------------

// Main runs the command and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("stoneworks-soak", flag.ContinueOnError)
	flags.SetOutput(stderr)
	bin := flags.String("bin", "bin", "the folder of the programs")
	seed := flags.Int64("seed", 0, "play only this seed; 0 draws new ones")
	runs := flags.Int("runs", 10, "how many new seeds to play, one after the other")
	catalogue := flags.Int("kinds", len(Catalogues), "the catalogue of kinds that a seed draws from; see plan.go")
	boxes := flags.Int("boxes", 6, "how many boxes to run")
	length := flags.Duration("for", defaultLength, "how long clients send in each run")
	networks := flags.String("networks", "127.94", "the first two octets of all addresses")
	plan := flags.Bool("plan", false, "also print the events")
	if err := flags.Parse(args); err != nil {
		return 2
	}
	if *catalogue < 1 || *catalogue > len(Catalogues) {
		fmt.Fprintf(stderr, "-kinds must be a catalogue from 1 to %d\n", len(Catalogues))
		return 2
	}
	seeds := []int64{*seed}
	if *seed == 0 {
		seeds = nil
		for range *runs {
			seeds = append(seeds, 1+rand.Int63n(1_000_000))
		}
	}
	network, err := addresses.Reserve(*networks)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return 1
	}
	defer network.Release()
	failed := 0
	for _, s := range seeds {
		p := NewPlan(Catalogues[*catalogue-1], s, *boxes, *length)
		if *plan {
			printPlan(stdout, p)
		}
		ok, err := playOne(p, *catalogue, *bin, network.Prefix, stdout)
		if err != nil {
			fmt.Fprintf(stderr, "seed %d: %v\n", s, err)
			return 1
		}
		if !ok {
			failed++
		}
	}
	fmt.Fprintf(stdout, "soak: %d seeds, %d with violations\n", len(seeds), failed)
	if failed > 0 {
		return 1
	}
	return 0
}

// playOne plays a seed. If that fails or finds violations, it keeps the logs and prints their
// folder.
func playOne(p *Plan, catalogue int, bin, network string, stdout io.Writer) (ok bool, err error) {
	dir, err := os.MkdirTemp("", "stoneworks-soak-")
	if err != nil {
		return false, err
	}
	found, err := Run(Options{Bin: bin, Dir: dir, Network: network, Plan: p, Out: stdout})
	if err == nil && len(found) == 0 {
		return true, os.RemoveAll(dir)
	}
	for _, v := range found {
		fmt.Fprintf(stdout, "BROKEN %s: %s\n", v.Check, v.Detail)
	}
	fmt.Fprintf(stdout, "logs are in %s; repeat with: %s\n", dir, repeatCommand(p, catalogue))
	return false, err
}

// repeatCommand returns the command that plays the same plan again.
func repeatCommand(p *Plan, catalogue int) string {
	return fmt.Sprintf("make soak SEED=%d KINDS=%d BOXES=%d FOR=%s", p.Seed, catalogue, p.Boxes, p.Length)
}

func printPlan(out io.Writer, p *Plan) {
	for _, e := range p.Events {
		fmt.Fprintf(out, "  %6.2f s  %-13s %d for %.1f s\n", e.At.Seconds(), e.Kind, e.Target%p.Boxes, e.Duration.Seconds())
	}
}
