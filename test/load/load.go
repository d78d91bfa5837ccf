// Package load runs a deployment like that of the users' machines as separate processes and
// sends it a seeded load while it injects faults.
package load

import (
	"flag"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"os"
	"sort"
	"sync"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/stoneworks/stoneworks/test/addresses"
	"github.com/stoneworks/stoneworks/test/machines"
	"github.com/stoneworks/stoneworks/test/processes"
)

// Size of the deployment and of the load.
const (
	boxCount         = 6
	networkPrefix    = "127.93"
	keys             = 40
	serviceTime      = 15 * time.Millisecond
	slots            = 4
	pause            = 30 * time.Millisecond
	clientsPerBox    = 4
	startTimeout     = 10 * time.Second
	minAnsweredShare = 0.97
	serversPerZone   = 2
	faultInterval    = 900 * time.Millisecond
)

// routes are the routes of the configuration, one of each kind of request.
var routes = []machines.Route{
	{Prefix: "/read/", Kind: "safe", Service: "shop", TimeoutMS: 1500},
	{Prefix: "/buy/", Kind: "unsafe", Service: "shop", TimeoutMS: 1500},
	{Prefix: "/up/", Kind: "upload", Service: "desk", TimeoutMS: 3000},
}

// result is the result of one request at its client.
type result struct {
	id       string
	kind     string
	status   int
	complete bool
	took     time.Duration
}

// run is one run of the program.
type run struct {
	bin, dir string
	network  *addresses.Network
	store    *machines.Store
	fleet    *machines.Fleet
	boxes    []*processes.Box
	random   *rand.Rand
	stdout   io.Writer

	mu      sync.Mutex
	results []result
}

// Main runs the program and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("stoneworks-machines", flag.ContinueOnError)
	flags.SetOutput(stderr)
	bin := flags.String("bin", "bin", "directory of the programs")
	seed := flags.Int64("seed", 1, "seed of the load")
	length := flags.Duration("for", 12*time.Second, "how long the load lasts")
	calm := flags.Bool("calm", false, "inject no faults")
	if err := flags.Parse(args); err != nil {
		return 2
	}
	dir, err := os.MkdirTemp("", "stoneworks-machines-")
	if err != nil {
		fmt.Fprintln(stderr, err)
		return 1
	}
	p := &run{bin: *bin, dir: dir, random: rand.New(rand.NewSource(*seed)), stdout: stdout}
	defer p.close()
	fmt.Fprintf(stdout, "seed %d, logs in %s\n", *seed, dir)
	if err := p.prepare(); err != nil {
		fmt.Fprintln(stderr, err)
		return 1
	}
	p.runLoad(*length, *calm)
	return p.report()
}

// close kills the boxes and stops the stand-ins.
func (p *run) close() {
	for _, b := range p.boxes {
		b.Kill()
	}
	if p.fleet != nil {
		p.fleet.Close()
	}
	if p.network != nil {
		p.network.Release()
	}
}

// prepare starts the store, the servers and the boxes, and waits until the boxes are ready.
func (p *run) prepare() error {
	var err error
	if p.network, err = addresses.Reserve(networkPrefix); err != nil {
		return err
	}
	fleet, err := machines.NewFleet(p.network.Prefix, io.Discard)
	if err != nil {
		return err
	}
	p.fleet, p.store = fleet, fleet.Store
	fleet.Configure(1, routes...)
	for _, z := range machines.Zones {
		for _, service := range []string{"shop", "desk"} {
			for i := range serversPerZone {
				if _, err := fleet.AddServer(fmt.Sprintf("%s-%s-%d", service, z.Zone, i), service, z.Zone, slots, serviceTime); err != nil {
					return err
				}
			}
		}
	}
	options := processes.Options{
		Bin: p.bin, Dir: p.dir, Network: p.network.Prefix, Store: p.store.Address,
		Drain: 2500 * time.Millisecond, Contact: 3 * time.Second, Grace: 4 * time.Second,
	}
	for i := range boxCount {
		b, err := processes.NewBox(options, machines.Zones[i%len(machines.Zones)].Zone, i+1)
		if err != nil {
			return err
		}
		if err := b.Start(); err != nil {
			return err
		}
		p.boxes = append(p.boxes, b)
	}
	for _, b := range p.boxes {
		if err := b.WaitReady(startTimeout); err != nil {
			return err
		}
	}
	return nil
}

// ----------------------------------------------------------------
// Load and faults
// ----------------------------------------------------------------

// runLoad runs the clients for a while and, unless calm is set, injects the faults.
func (p *run) runLoad(length time.Duration, calm bool) {
	end := time.Now().Add(length)
	var clients conc.WaitGroup
	for i := range clientsPerBox * boxCount {
		random := rand.New(rand.NewSource(p.random.Int63()))
		clients.Go(func() { p.client(i, random, end) })
	}
	if !calm {
		p.injectFaults(end)
	}
	clients.Wait()
}

// client sends requests until the end. After a failed request or a status of 500 or more, it
// continues with the next box.
func (p *run) client(number int, random *rand.Rand, end time.Time) {
	box := number % boxCount
	c := &machines.Client{Address: p.boxes[box].Clients()}
	defer func() { c.Close() }()
	for n := 0; time.Now().Before(end); n++ {
		r := routes[random.Intn(len(routes))]
		id := fmt.Sprintf("c%d-%d", number, n)
		answer := p.attempt(c, r, id, random)
		if answer.Problem != nil || answer.Status >= 500 {
			c.Close()
			box = (box + 1) % boxCount
			c = &machines.Client{Address: p.boxes[box].Clients()}
		}
		time.Sleep(pause)
	}
}

// attempt sends one request and records its result.
func (p *run) attempt(c *machines.Client, r machines.Route, id string, random *rand.Rand) *machines.Answer {
	method, body := "GET", ""
	if r.Kind != "safe" {
		method, body = "POST", "body of "+id
	}
	extra := fmt.Sprintf("X-Stoneworks-Affinity-Key: %d\r\nX-Stoneworks-Request-Timeout-Ms: 3000\r\n", random.Intn(keys))
	answer := c.Do(method, r.Prefix+"1", id, body, extra)
	complete := answer.Problem == nil && answer.Body == machines.AnswerBody(id)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.results = append(p.results, result{id: id, kind: r.Kind, status: answer.Status, complete: complete, took: answer.Took})
	return answer
}

// injectFaults injects the faults one after the other, until they are done or the load ends.
func (p *run) injectFaults(end time.Time) {
	server := p.fleet.Servers["shop-east-a-0"]
	rejected, frozen, killed, stopped := p.boxes[2], p.boxes[3], p.boxes[4], p.boxes[5]
	for _, t := range []struct {
		what string
		do   func()
	}{
		{"draining " + server.ID, func() { p.fleet.PutServer(server, "shop", "east-a", "draining", 0) }},
		{"the store rejects calls of " + rejected.Name + " with 503", func() {
			p.store.SetMode(func(ip, _ string) machines.Mode {
				if ip == rejected.IP {
					return machines.Busy
				}
				return machines.Serving
			})
		}},
		{"evacuating east-b", func() { p.store.Put("evacuations", "east-b", map[string]any{}) }},
		{"freezing " + frozen.Name, func() { frozen.Signal(syscall.SIGSTOP) }},
		{"a new configuration", func() { p.fleet.Configure(2, routes...) }},
		{"continuing " + frozen.Name, func() { frozen.Signal(syscall.SIGCONT) }},
		{"killing " + killed.Name, func() { killed.Signal(syscall.SIGKILL) }},
		{"ending the evacuation of east-b", func() { p.store.Delete("evacuations", "east-b") }},
		{"stopping " + stopped.Name, func() { stopped.Signal(syscall.SIGTERM) }},
	} {
		time.Sleep(faultInterval)
		if time.Now().After(end) {
			return
		}
		fmt.Fprintln(p.stdout, t.what)
		t.do()
	}
}

// ----------------------------------------------------------------
// Results
// ----------------------------------------------------------------

// report prints the results by kind of request. It returns exit code 1 if a result is wrong or
// less than minAnsweredShare of the requests are answered.
func (p *run) report() int {
	ran := map[string]int{}
	for _, s := range p.fleet.Servers {
		for _, r := range s.Runs() {
			ran[r.ID]++
		}
	}
	table := tabwriter.NewWriter(p.stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "KIND\tREQUESTS\tANSWERED\tREFUSED\tUNKNOWN\tNO ANSWER\tP50 MS\tP99 MS")
	total, served, wrong := 0, 0, 0
	for _, r := range routes {
		var answered, refused, unknown, none int
		var times []time.Duration
		for _, got := range p.results {
			if got.kind != r.Kind {
				continue
			}
			times = append(times, got.took)
			switch {
			case got.status == http.StatusOK && got.complete:
				answered++
			case got.status == http.StatusServiceUnavailable:
				refused++
			case got.status == 0:
				none++
			default:
				unknown++
			}
			wrong += p.checkResult(got, ran[got.id])
		}
		sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\n", r.Kind, len(times), answered, refused, unknown, none,
			quantile(times, 0.5), quantile(times, 0.99))
		total += len(times)
		served += answered
	}
	_ = table.Flush()
	fmt.Fprintf(p.stdout, "machines: %d requests, %d answered, %d wrong\n", total, served, wrong)
	if wrong > 0 || float64(served) < minAnsweredShare*float64(total) {
		return 1
	}
	return 0
}

// checkResult prints a result that violates a promise and returns 1 for it: a success with an
// incomplete or wrong answer, or a request other than a safe one that ran more than once or ran
// although it was refused.
func (p *run) checkResult(r result, runs int) int {
	problem := ""
	switch {
	case r.status == http.StatusOK && !r.complete:
		problem = "status 200 with an incomplete or wrong answer"
	case r.kind != "safe" && runs > 1:
		problem = "ran more than once"
	case r.kind != "safe" && runs > 0 && r.status == http.StatusServiceUnavailable:
		problem = "refused with status 503, but ran"
	}
	if problem == "" {
		return 0
	}
	fmt.Fprintf(p.stdout, "WRONG %s (%s): %s\n", r.id, r.kind, problem)
	return 1
}

// quantile returns a quantile of sorted durations, in milliseconds.
func quantile(sorted []time.Duration, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return float64(sorted[int(q*float64(len(sorted)-1))].Microseconds()) / 1000
}
