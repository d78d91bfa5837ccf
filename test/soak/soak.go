// Package soak runs boxes as separate processes against stand-ins of the
// users' machines, strikes them from outside while clients use them, and
// checks what must always hold. What happens is drawn from a seed.
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
	"time"

	"github.com/sourcegraph/conc"

	"github.com/stoneworks/stoneworks/test/addresses"
	"github.com/stoneworks/stoneworks/test/faultproxy"
	"github.com/stoneworks/stoneworks/test/machines"
	"github.com/stoneworks/stoneworks/test/processes"
)

// The deployment of a run.
const (
	leastServers  = 2 // of each service in each zone
	slots         = 4
	work          = 15 * time.Millisecond
	startTime     = 15 * time.Second
	settleTime    = 3500 * time.Millisecond
	recoveryTime  = 1500 * time.Millisecond
	lateRunTime   = 300 * time.Millisecond
	defaultLength = 14 * time.Second
)

var services = []string{"shop", "desk"}

// serversEach returns how many servers of each service a zone has: as many as it
// has boxes. Clients come with the boxes; with fewer servers the load alone would
// have requests refused.
func serversEach(boxes int) int { return max(leastServers, boxes/len(machines.Zones)) }

// Options are those of one run.
type Options struct {
	Bin string
	// Dir takes settings and logs.
	Dir string
	// Network is the first three numbers of all addresses of the run.
	Network string
	Plan    *Plan
	Out     io.Writer
}

// run is one run on its way.
type run struct {
	Options
	recorder
	deadly   deadlyTargets
	fleet    *machines.Fleet
	boxes    []*processes.Box
	store    *faultproxy.Proxy
	servers  []*listedServer
	random   *rand.Rand
	version  int
	began    time.Time
	striking conc.WaitGroup
}

// Run plays one plan and returns what was broken. The error says that the run
// could not be played.
func Run(o Options) ([]Violation, error) {
	r := &run{Options: o, random: rand.New(rand.NewSource(o.Plan.Seed))}
	defer r.close()
	if err := r.prepare(); err != nil {
		return nil, err
	}
	r.play()
	h := r.collect()
	found := Judge(h)
	fmt.Fprintf(o.Out, "seed %d: %d events, %d requests (%s), %d probes, %d broken\n",
		o.Plan.Seed, len(o.Plan.Events), len(h.Requests), statuses(h), len(h.Probes), len(found))
	return found, nil
}

// statuses counts the requests by their status; 0 stands for no answer.
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
		b.End()
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
	for _, z := range machines.Zones {
		for _, service := range services {
			for range serversEach(r.Plan.Boxes) {
				if err := r.addServer(service, z.Zone); err != nil {
					return err
				}
			}
		}
	}
	r.configure()
	options := processes.Options{
		Bin: r.Bin, Dir: r.Dir, Network: r.Network, Store: r.store.Address(),
		Drain: boundDrain, Contact: boundContact, Grace: boundGrace,
	}
	for i := range r.Plan.Boxes {
		b, err := processes.NewBox(options, machines.Zones[i%len(machines.Zones)].Zone, i+1)
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

// play strikes while clients send, then lets the system recover.
func (r *run) play() {
	r.began = time.Now()
	end := r.began.Add(r.Plan.Length)
	var clients conc.WaitGroup
	r.startClients(&clients, end)
	for _, e := range r.Plan.Events {
		time.Sleep(time.Until(r.began.Add(e.At)))
		r.strike(e)
	}
	clients.Wait()
	r.striking.Wait()
	for _, b := range r.boxes {
		_ = b.WaitReady(startTime)
	}
	time.Sleep(settleTime)
	r.recover()
	time.Sleep(lateRunTime)
}

// recover counts what is answered after all faults are over.
func (r *run) recover() {
	before := 0
	r.note(func(h *History) { before = len(h.Requests) })
	var clients conc.WaitGroup
	r.startClients(&clients, time.Now().Add(recoveryTime))
	clients.Wait()
	r.note(func(h *History) {
		for _, q := range h.Requests[before:] {
			h.Recovery.Sent++
			if q.Status == 200 {
				h.Recovery.Answered++
			}
		}
	})
}

// collect adds what servers saw.
func (r *run) collect() *History {
	h := &r.history
	h.Runs = map[string][]machines.Run{}
	h.Arrivals = map[string][]machines.Arrival{}
	h.Leavings = map[string][]machines.SentHeader{}
	h.Rests = map[string][]machines.SentHeader{}
	for id, s := range r.fleet.Servers {
		h.Runs[id] = s.Runs()
		h.Arrivals[id] = s.ArrivalLog()
		h.Leavings[id] = s.SentHeaders(machines.LeavingHeader)
		h.Rests[id] = s.SentHeaders(machines.RetryAfterHeader)
	}
	for i := range h.Limited {
		h.Limited[i].Namings = r.fleet.Servers[h.Limited[i].Server].SentHeaders(machines.LimitHeader)
	}
	h.KeysLogged = r.keysLogged()
	return h
}

// keysLogged returns the lines of the boxes' logs that have a key in them.
func (r *run) keysLogged() (found []string) {
	for _, b := range r.boxes {
		text, err := os.ReadFile(filepath.Join(r.Dir, b.Name+".log"))
		if err != nil {
			found = append(found, err.Error())
		}
		for _, line := range strings.Split(string(text), "\n") {
			if strings.Contains(line, keysPart) {
				found = append(found, "logged: "+line)
			}
		}
	}
	return found
}

// ----------------------------------------------------------------
// The program
// ----------------------------------------------------------------

// Main runs the program and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("stoneworks-soak", flag.ContinueOnError)
	flags.SetOutput(stderr)
	bin := flags.String("bin", "bin", "where the programs are")
	seed := flags.Int64("seed", 0, "play this seed only; 0 draws fresh ones")
	runs := flags.Int("runs", 10, "how many fresh seeds to play, one after the other")
	catalogue := flags.Int("kinds", len(Catalogues), "the catalogue of kinds that a seed draws from; see plan.go")
	boxes := flags.Int("boxes", 6, "how many boxes to run")
	length := flags.Duration("for", defaultLength, "how long clients send in each run")
	networks := flags.String("networks", "127.94", "the first two numbers of all addresses")
	plan := flags.Bool("plan", false, "print what happens, too")
	if err := flags.Parse(args); err != nil {
		return 2
	}
	if *catalogue < 1 || *catalogue > len(Catalogues) {
		fmt.Fprintf(stderr, "there are catalogues 1 to %d\n", len(Catalogues))
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
	broken := 0
	for _, s := range seeds {
		p := NewPlan(Catalogues[*catalogue-1], s, *boxes, *length)
		if *plan {
			printPlan(stdout, p)
		}
		ok, err := playOne(p, *bin, network.Prefix, stdout)
		if err != nil {
			fmt.Fprintf(stderr, "seed %d: %v\n", s, err)
			return 1
		}
		if !ok {
			broken++
		}
	}
	fmt.Fprintf(stdout, "soak: %d seeds, %d with a promise broken\n", len(seeds), broken)
	if broken > 0 {
		return 1
	}
	return 0
}

// playOne plays a seed. The logs of one that broke a promise are kept.
func playOne(p *Plan, bin, network string, stdout io.Writer) (ok bool, err error) {
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
	fmt.Fprintf(stdout, "logs in %s; again: make soak SEED=%d BOXES=%d\n", dir, p.Seed, p.Boxes)
	return false, err
}

func printPlan(out io.Writer, p *Plan) {
	for _, e := range p.Events {
		fmt.Fprintf(out, "  %6.2f s  %-13s %d for %.1f s\n", e.At.Seconds(), e.Kind, e.Target%p.Boxes, e.For.Seconds())
	}
}
