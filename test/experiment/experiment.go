// Package experiment plays the same seeded load and troubles on two sets of
// figures of policy, against real boxes and stand-in servers, and compares
// them in pairs by kind of request. It is no simulator: boxes are the
// product's, and time is real.
package experiment

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/stoneworks/stoneworks/pkg/policy"
	"github.com/stoneworks/stoneworks/pkg/settings"
	"github.com/stoneworks/stoneworks/test/machines"
)

// Plan is what is played on both sides.
type Plan struct {
	// Seeds are played one after the other, each on both sides.
	Seeds []uint64
	// Length is how long each play lasts.
	Length time.Duration
	// Keys are drawn with the weights 1, 1/2^Skew, 1/3^Skew and so on.
	Keys int
	Skew float64
	// Nature is that of all servers; with Unlike every third is slower by half
	// and every third quicker.
	Nature machines.Performance
	Unlike bool
	// Refuse is which part of all requests servers refuse in the last third,
	// though slots are free.
	Refuse float64
	// Target is the time within which an answer is in time.
	Target time.Duration
}

// The deployment and the load.
const (
	boxesEach   = 2
	serversEach = 4
	serverSlots = 3
	work        = 100 * time.Millisecond
	clientsEach = 8
	pause       = 20 * time.Millisecond
	settle      = 4 * time.Second
	timeoutMS   = 1500
)

// kinds are the kinds of requests, as methods and routes.
var kinds = []struct{ name, method, prefix string }{
	{"safe", "GET", "/read/"},
	{"unsafe", "POST", "/buy/"},
}

// Score counts the requests of one kind.
type Score struct {
	Requests int
	InTime   int
}

// Share is the part of the requests that was answered in time.
func (s Score) Share() float64 { return float64(s.InTime) / float64(max(1, s.Requests)) }

// PolicyError says that figures cannot be read.
type PolicyError struct {
	Text  string
	Cause error
}

// Error implements error.
func (e *PolicyError) Error() string { return fmt.Sprintf("figures %q: %v", e.Text, e.Cause) }

// ParsePolicy reads figures such as "full_fill=3,hot_share=1" over the
// defaults, with the checks of a settings file. The error is a *PolicyError.
func ParsePolicy(text string) (*policy.Policy, error) {
	var b strings.Builder
	b.WriteString("box: a\nzone: z\nplatform: {address: \"127.0.0.1:1\"}\nzones: [{zone: z, region: r}]\n" +
		"listen: {callers: \"127.0.0.1:2\", peers: \"127.0.0.1:3\", operators: \"127.0.0.1:4\", admin: \"127.0.0.1:5\"}\n")
	for i, figure := range strings.Split(text, ",") {
		if text == "" {
			break
		}
		if i == 0 {
			b.WriteString("policy:\n")
		}
		b.WriteString("  " + strings.Replace(figure, "=", ": ", 1) + "\n")
	}
	s, err := settings.Parse("policy", []byte(b.String()))
	if err != nil {
		return nil, &PolicyError{Text: text, Cause: err}
	}
	return &s.Policy, nil
}

// Play plays one seed on a set of figures, in a network of its own such as
// "127.96.1", and returns the scores by kind.
func (p *Plan) Play(network string, seed uint64, figures *policy.Policy) (map[string]Score, error) {
	f, err := machines.NewFleet(network, io.Discard)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	f.Policy = figures
	f.Configure(1,
		machines.Route{Prefix: kinds[0].prefix, Kind: "safe", Service: "shop", TimeoutMS: timeoutMS},
		machines.Route{Prefix: kinds[1].prefix, Kind: "unsafe", Service: "shop", TimeoutMS: timeoutMS})
	for _, z := range machines.Zones {
		for i := range serversEach {
			if err := p.addServer(f, z.Zone, i); err != nil {
				return nil, err
			}
		}
		for range boxesEach {
			if _, err := f.AddBox(z.Zone); err != nil {
				return nil, err
			}
		}
	}
	time.Sleep(settle)
	scores := &scores{byKind: map[string]Score{}}
	end := time.Now().Add(p.Length)
	clients := conc.NewWaitGroup()
	for i, b := range f.Boxes {
		for j := range clientsEach {
			stream := uint64(i*clientsEach + j)
			clients.Go(func() { p.client(b.Clients, rand.New(rand.NewPCG(seed, stream)), end, scores) })
		}
	}
	err = p.trouble(f, rand.New(rand.NewPCG(seed, math.MaxUint64)))
	clients.Wait()
	return scores.byKind, err
}

// addServer starts a server of the plan's nature and lists it.
func (p *Plan) addServer(f *machines.Fleet, zone string, i int) error {
	nature := p.Nature
	if p.Unlike {
		nature.Speed = []float64{1 / 1.5, 1, 1.5}[i%3]
	}
	_, err := f.AddServerWithPerformance(nature, fmt.Sprintf("%s.%d", zone, i), "shop", zone, serverSlots, work)
	return err
}

// trouble replaces a server in the first third, and has all refuse some
// requests in the last.
func (p *Plan) trouble(f *machines.Fleet, random *rand.Rand) error {
	third := p.Length / 3
	time.Sleep(third)
	zone := machines.Zones[random.IntN(len(machines.Zones))].Zone
	old := f.Servers[fmt.Sprintf("%s.%d", zone, random.IntN(serversEach))]
	if err := p.addServer(f, zone, serversEach); err != nil {
		return err
	}
	f.PutServer(old, "shop", zone, "draining", 0)
	time.Sleep(third)
	var mu sync.Mutex
	for _, s := range f.Servers {
		s.SetFault(func(*machines.Run) machines.Fault {
			mu.Lock()
			defer mu.Unlock()
			if random.Float64() < p.Refuse {
				return machines.Refuse
			}
			return machines.NoFault
		})
	}
	return nil
}

// scores are counted by many clients.
type scores struct {
	mu     sync.Mutex
	byKind map[string]Score
}

func (s *scores) add(kind string, inTime bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	score := s.byKind[kind]
	score.Requests++
	if inTime {
		score.InTime++
	}
	s.byKind[kind] = score
}

// client sends one request after the other until the end.
func (p *Plan) client(address string, random *rand.Rand, end time.Time, scores *scores) {
	c := &machines.Client{Address: address}
	defer c.Close()
	weights := make([]float64, p.Keys)
	total := 0.0
	for i := range weights {
		weights[i] = math.Pow(float64(i+1), -p.Skew)
		total += weights[i]
	}
	for time.Now().Before(end) {
		kind := kinds[random.IntN(len(kinds))]
		drawn := random.Float64() * total
		key := 0
		for ; key < p.Keys-1 && drawn >= weights[key]; key++ {
			drawn -= weights[key]
		}
		id := fmt.Sprintf("%x", random.Uint64())
		a := c.Do(kind.method, kind.prefix+"1", id, "", fmt.Sprintf("X-Stoneworks-Affinity-Key: %d\r\n", key))
		scores.add(kind.name, a.Problem == nil && a.Status == 200 && a.Took <= p.Target)
		time.Sleep(time.Duration(random.Float64() * 2 * float64(pause)))
	}
}

// Pair is one seed's scores on both sides.
type Pair struct {
	Seed uint64
	A, B map[string]Score
}

// Run plays all seeds on both sides. Networks are numbered from the first.
func (p *Plan) Run(networks string, a, b *policy.Policy) ([]Pair, error) {
	var pairs []Pair
	for i, seed := range p.Seeds {
		left, err := p.Play(fmt.Sprintf("%s.%d", networks, 2*i+1), seed, a)
		if err != nil {
			return pairs, err
		}
		right, err := p.Play(fmt.Sprintf("%s.%d", networks, 2*i+2), seed, b)
		if err != nil {
			return pairs, err
		}
		pairs = append(pairs, Pair{Seed: seed, A: left, B: right})
	}
	return pairs, nil
}

// Print writes the differences by kind, with their mean and its standard error.
func Print(w io.Writer, pairs []Pair) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "KIND\tSEED\tREQUESTS A\tREQUESTS B\tIN TIME A\tIN TIME B\tB - A")
	for _, kind := range kinds {
		var differences []float64
		for _, pair := range pairs {
			a, b := pair.A[kind.name], pair.B[kind.name]
			difference := b.Share() - a.Share()
			differences = append(differences, difference)
			fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%.3f\t%.3f\t%+.3f\n", kind.name, pair.Seed, a.Requests, b.Requests, a.Share(), b.Share(), difference)
		}
		mean, deviation := meanOf(differences)
		fmt.Fprintf(t, "%s\tmean\t\t\t\t\t%+.3f (standard error %.3f)\n", kind.name, mean, deviation)
	}
	return t.Flush()
}

// meanOf returns the mean and its standard error, 0 for a single value.
func meanOf(values []float64) (mean, standardError float64) {
	for _, v := range values {
		mean += v / float64(len(values))
	}
	if len(values) < 2 {
		return mean, 0
	}
	squares := 0.0
	for _, v := range values {
		squares += (v - mean) * (v - mean)
	}
	n := float64(len(values))
	return mean, math.Sqrt(squares / (n - 1) / n)
}
