package harness

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/stoneworks/stoneworks/pkg/caller"
	"github.com/stoneworks/stoneworks/pkg/outcome"
	"github.com/stoneworks/stoneworks/test/standin"
)

// Sample is the end of one request of a load.
type Sample struct {
	Zone       string
	Service    string
	Key        string
	ID         string
	AtMostOnce bool
	Result     *caller.Result
	Err        error
	Took       time.Duration
	Problem    string
}

// Load sends requests from clients in every zone and checks each answer.
type Load struct {
	Deployment *Deployment
	// Clients in each zone, each sending one request after the other.
	Clients int
	// Requests that each client sends; Pause between them.
	Requests int
	Pause    time.Duration
	Timeout  time.Duration
	// NewRequest returns the n-th request of a client.
	NewRequest func(service string, n int) caller.Request

	mu      sync.Mutex
	samples []Sample
}

// MixedRequests sends three requests that may be repeated for each one that
// may not.
func MixedRequests(service string, n int) caller.Request {
	r := caller.Request{Service: service, Method: "GET", Path: fmt.Sprintf("/item/%d", n%50), MayRepeat: true}
	r.Header = [][2]string{{"X-Track", fmt.Sprint(n % 50)}}
	if n%4 == 3 {
		r = caller.Request{Service: service, Method: "POST", Path: "/buy", Body: []byte(fmt.Sprintf("order %d", n)), AtMostOnce: true}
	}
	return r
}

// Run sends the load and returns all samples.
func (l *Load) Run(ctx context.Context) []Sample {
	wg := conc.NewWaitGroup()
	for _, zone := range l.Deployment.Shape.Zones() {
		for n := range l.Clients {
			wg.Go(func() { l.client(ctx, zone, n) })
		}
	}
	wg.Wait()
	return l.samples
}

func (l *Load) client(ctx context.Context, zone string, n int) {
	d := l.Deployment
	boxes := d.AllCallers()
	// Each client starts at another box.
	start := n % len(boxes)
	c := caller.New(d.Shape.ClientOf(zone, n), append(boxes[start:len(boxes):len(boxes)], boxes[:start]...)...)
	defer c.Close()
	for i := range l.Requests {
		if ctx.Err() != nil {
			return
		}
		service := d.Shape.Services[(i+n)%len(d.Shape.Services)].Name
		l.add(l.send(ctx, c, zone, l.NewRequest(service, i)))
		time.Sleep(l.Pause)
	}
}

func (l *Load) send(ctx context.Context, c *caller.Client, zone string, r caller.Request) Sample {
	ctx, cancel := context.WithTimeout(ctx, l.Timeout)
	defer cancel()
	r.ID = NewID()
	started := time.Now()
	result, err := c.Do(ctx, r)
	s := Sample{Zone: zone, Service: r.Service, ID: r.ID, AtMostOnce: r.AtMostOnce, Result: result, Err: err, Took: time.Since(started)}
	if result != nil {
		s.Key = result.Key
		s.Problem = CheckAnswer(r, result)
	}
	return s
}

func (l *Load) add(s Sample) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.samples = append(l.samples, s)
}

// CheckAnswer says what is wrong with an answer; "" if nothing is.
func CheckAnswer(r caller.Request, result *caller.Result) string {
	if result.Outcome != outcome.Answered {
		return ""
	}
	sum := sha256.Sum256(r.Body)
	want := standin.ExpectedAnswer(r.ID, hex.EncodeToString(sum[:]), int64(len(r.Body)))
	if string(result.Body) != want {
		return fmt.Sprintf("answer %q, want %q", result.Body, want)
	}
	return ""
}

// CheckRuns says what the backend servers' own records show to be wrong: a
// request run twice that may not be, or one run that was said not to be.
func CheckRuns(samples []Sample, records map[string]standin.Record) []string {
	var wrong []string
	runsByID := RunsByID(records)
	for _, s := range samples {
		if s.Problem != "" {
			wrong = append(wrong, s.Service+": "+s.Problem)
		}
		runs := runsByID[s.ID]
		if s.AtMostOnce && runs > 1 {
			wrong = append(wrong, fmt.Sprintf("%s ran %d times", s.ID, runs))
		}
		if s.Result != nil && s.Result.Outcome == outcome.NotRun && runs > 0 {
			wrong = append(wrong, fmt.Sprintf("%s ran, but its caller was told it was not run", s.ID))
		}
	}
	return wrong
}

// RunsByID counts runs by the caller's own id, which ends every key that the
// request was sent with: a caller may have gone through several keys.
func RunsByID(records map[string]standin.Record) map[string]int {
	counts := map[string]int{}
	for _, r := range records {
		for key, n := range r.Runs {
			counts[key[strings.LastIndexByte(key, '/')+1:]] += n
		}
	}
	return counts
}

// Totals counts samples.
type Totals struct {
	Requests, Answered, NotRun, Unknown int
	P50, P99                            time.Duration
}

// Count sums samples up.
func Count(samples []Sample) Totals {
	t := Totals{Requests: len(samples)}
	var times []time.Duration
	for _, s := range samples {
		switch {
		case s.Result == nil:
			t.NotRun++
		case s.Result.Outcome == outcome.Answered:
			t.Answered++
			times = append(times, s.Took)
		case s.Result.Outcome == outcome.NotRun:
			t.NotRun++
		default:
			t.Unknown++
		}
	}
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	if len(times) > 0 {
		t.P50 = times[len(times)/2]
		t.P99 = times[len(times)*99/100]
	}
	return t
}

// Reasons lists how often each reason ended a request.
func Reasons(samples []Sample) string {
	counts := map[string]int{}
	for _, s := range samples {
		switch {
		case s.Result == nil:
			counts["no look-up"]++
		case s.Result.Outcome != outcome.Answered:
			counts[string(s.Result.Outcome)+"."+string(s.Result.Reason)]++
		}
	}
	var lines []string
	for k, n := range counts {
		lines = append(lines, fmt.Sprintf("%s=%d", k, n))
	}
	sort.Strings(lines)
	return strings.Join(lines, " ")
}
