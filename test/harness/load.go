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

// Sample is the result of one request of a load.
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
	// Clients is the number of clients in each zone. A client sends one request at a time.
	Clients int
	// Requests is the number of requests that each client sends, with Pause between them.
	Requests int
	Pause    time.Duration
	Timeout  time.Duration
	// NewRequest returns the n-th request of a client.
	NewRequest func(service string, n int) caller.Request

	mu      sync.Mutex
	samples []Sample
}

// MixedRequests returns the n-th request of a mix: three requests that may be repeated, then one
// that runs at most once.
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

// client sends the requests of one client.
func (l *Load) client(ctx context.Context, zone string, n int) {
	d := l.Deployment
	boxes := d.AllCallers()
	// Clients start at different boxes.
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

// send sends one request with a new id.
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

// CheckAnswer returns what is wrong with an answer, or "" if it is the expected one.
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

// CheckRuns returns the errors in the answers and in the backend servers' records: a request
// that runs at most once but ran twice, or one that ran although its caller was told not-run.
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
			wrong = append(wrong, fmt.Sprintf("%s ran, but the outcome its caller got is not-run", s.ID))
		}
	}
	return wrong
}

// RunsByID counts runs by the caller's own id. A caller may send a request with several keys;
// each of them ends with its id.
func RunsByID(records map[string]standin.Record) map[string]int {
	counts := map[string]int{}
	for _, r := range records {
		for key, n := range r.Runs {
			counts[key[strings.LastIndexByte(key, '/')+1:]] += n
		}
	}
	return counts
}

// Totals is a summary of samples.
type Totals struct {
	Requests, Answered, NotRun, Unknown int
	P50, P99                            time.Duration
}

// Count counts samples by outcome. A request without a result counts as not run. P50 and P99
// are of the answered ones.
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

// Reasons returns how often requests failed by outcome and reason, as "OUTCOME.REASON=COUNT".
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
