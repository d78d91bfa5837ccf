// Package load runs a deployment in the shape of the users' machines as
// separate processes and plays a seeded load against it.
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

// The load.
const (
	boxCount     = 6
	networks     = "127.93"
	keys         = 40
	work         = 15 * time.Millisecond
	slots        = 4
	pause        = 30 * time.Millisecond
	clientsEach  = 4
	startTime    = 10 * time.Second
	leastShare   = 0.97
	serversEach  = 2
	troublePause = 900 * time.Millisecond
)

var routes = []machines.Route{
	{Prefix: "/read/", Kind: "safe", Service: "shop", TimeoutMS: 1500},
	{Prefix: "/buy/", Kind: "unsafe", Service: "shop", TimeoutMS: 1500},
	{Prefix: "/up/", Kind: "upload", Service: "desk", TimeoutMS: 3000},
}

// result is what a client got.
type result struct {
	id     string
	kind   string
	status int
	whole  bool
	took   time.Duration
}

// player is one run.
type player struct {
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
	bin := flags.String("bin", "bin", "where the programs are")
	seed := flags.Int64("seed", 1, "what the load and the troubles are drawn from")
	length := flags.Duration("for", 12*time.Second, "how long the load lasts")
	calm := flags.Bool("calm", false, "no troubles")
	if err := flags.Parse(args); err != nil {
		return 2
	}
	dir, err := os.MkdirTemp("", "stoneworks-machines-")
	if err != nil {
		fmt.Fprintln(stderr, err)
		return 1
	}
	p := &player{bin: *bin, dir: dir, random: rand.New(rand.NewSource(*seed)), stdout: stdout}
	defer p.close()
	fmt.Fprintf(stdout, "seed %d, logs in %s\n", *seed, dir)
	if err := p.prepare(); err != nil {
		fmt.Fprintln(stderr, err)
		return 1
	}
	p.play(*length, *calm)
	return p.judge()
}

func (p *player) close() {
	for _, b := range p.boxes {
		b.End()
	}
	if p.fleet != nil {
		p.fleet.Close()
	}
	if p.network != nil {
		p.network.Release()
	}
}

// prepare starts the store, the servers and the boxes.
func (p *player) prepare() error {
	var err error
	if p.network, err = addresses.Reserve(networks); err != nil {
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
			for i := range serversEach {
				if _, err := fleet.AddServer(fmt.Sprintf("%s-%s-%d", service, z.Zone, i), service, z.Zone, slots, work); err != nil {
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
		if err := b.WaitReady(startTime); err != nil {
			return err
		}
	}
	return nil
}

// ----------------------------------------------------------------
// Playing
// ----------------------------------------------------------------

func (p *player) play(length time.Duration, calm bool) {
	end := time.Now().Add(length)
	var clients conc.WaitGroup
	for i := range clientsEach * boxCount {
		random := rand.New(rand.NewSource(p.random.Int63()))
		clients.Go(func() { p.client(i, random, end) })
	}
	if !calm {
		p.trouble(end)
	}
	clients.Wait()
}

// client sends requests until the end, to the boxes in turn when one fails.
func (p *player) client(number int, random *rand.Rand, end time.Time) {
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

func (p *player) attempt(c *machines.Client, r machines.Route, id string, random *rand.Rand) *machines.Answer {
	method, body := "GET", ""
	if r.Kind != "safe" {
		method, body = "POST", "body of "+id
	}
	extra := fmt.Sprintf("X-Stoneworks-Affinity-Key: %d\r\nX-Stoneworks-Request-Timeout-Ms: 3000\r\n", random.Intn(keys))
	answer := c.Do(method, r.Prefix+"1", id, body, extra)
	whole := answer.Problem == nil && answer.Body == machines.AnswerBody(id)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.results = append(p.results, result{id: id, kind: r.Kind, status: answer.Status, whole: whole, took: answer.Took})
	return answer
}

// trouble brings about the failures of an ordinary day, one after the other.
func (p *player) trouble(end time.Time) {
	server := p.fleet.Servers["shop-east-a-0"]
	turnedAway, frozen, killed, stopped := p.boxes[2], p.boxes[3], p.boxes[4], p.boxes[5]
	for _, t := range []struct {
		what string
		do   func()
	}{
		{"draining " + server.ID, func() { p.fleet.PutServer(server, "shop", "east-a", "draining", 0) }},
		{"the store turns " + turnedAway.Name + " away", func() {
			p.store.SetMode(func(ip, _ string) machines.Mode {
				if ip == turnedAway.IP {
					return machines.Busy
				}
				return machines.Serving
			})
		}},
		{"evacuating east-b", func() { p.store.Put("evacuations", "east-b", map[string]any{}) }},
		{"freezing " + frozen.Name, func() { frozen.Signal(syscall.SIGSTOP) }},
		{"a new configuration", func() { p.fleet.Configure(2, routes...) }},
		{"waking " + frozen.Name, func() { frozen.Signal(syscall.SIGCONT) }},
		{"killing " + killed.Name, func() { killed.Signal(syscall.SIGKILL) }},
		{"taking east-b back", func() { p.store.Delete("evacuations", "east-b") }},
		{"stopping " + stopped.Name, func() { stopped.Signal(syscall.SIGTERM) }},
	} {
		time.Sleep(troublePause)
		if time.Now().After(end) {
			return
		}
		fmt.Fprintln(p.stdout, t.what)
		t.do()
	}
}

// ----------------------------------------------------------------
// Judging
// ----------------------------------------------------------------

// judge prints the table and returns the exit code.
func (p *player) judge() int {
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
			case got.status == http.StatusOK && got.whole:
				answered++
			case got.status == http.StatusServiceUnavailable:
				refused++
			case got.status == 0:
				none++
			default:
				unknown++
			}
			wrong += p.wrong(got, ran[got.id])
		}
		sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\n", r.Kind, len(times), answered, refused, unknown, none,
			quantile(times, 0.5), quantile(times, 0.99))
		total += len(times)
		served += answered
	}
	_ = table.Flush()
	fmt.Fprintf(p.stdout, "machines: %d requests, %d answered, %d wrong\n", total, served, wrong)
	if wrong > 0 || float64(served) < leastShare*float64(total) {
		return 1
	}
	return 0
}

// wrong counts what must not be: an answer that is not the whole one, an
// unsafe request that ran twice, one that ran though it was refused.
func (p *player) wrong(r result, runs int) int {
	problem := ""
	switch {
	case r.status == http.StatusOK && !r.whole:
		problem = "a success that is not the whole answer"
	case r.kind != "safe" && runs > 1:
		problem = "ran more than once"
	case r.kind != "safe" && runs > 0 && r.status == http.StatusServiceUnavailable:
		problem = "refused, and ran"
	}
	if problem == "" {
		return 0
	}
	fmt.Fprintf(p.stdout, "WRONG %s (%s): %s\n", r.id, r.kind, problem)
	return 1
}

func quantile(sorted []time.Duration, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return float64(sorted[int(q*float64(len(sorted)-1))].Microseconds()) / 1000
}
