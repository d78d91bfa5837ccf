package machines

import (
	"bytes"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/stoneworks/stoneworks/pkg/ctl"
	"github.com/stoneworks/stoneworks/pkg/customer"
	"github.com/stoneworks/stoneworks/pkg/settings"
)

// loadResult is the outcome of a customer's requests.
type loadResult struct {
	// statuses counts the answers by status.
	statuses map[int]int
	// took holds the durations of the requests, sorted.
	took []time.Duration
	// retryAfter is the Retry-After of the latest 429, in seconds.
	retryAfter float64
}

// p99 returns the 99th percentile of the durations.
func (s *loadResult) p99() time.Duration { return s.took[len(s.took)*99/100] }

// sendFor runs clients of a customer, spread over the boxes, for the time d. Each pauses after
// each answer for the time every.
func sendFor(f *Fleet, key string, every time.Duration, clients int, d time.Duration) *loadResult {
	s := &loadResult{statuses: map[int]int{}}
	var mu sync.Mutex
	var all sync.WaitGroup
	for n := range clients {
		all.Add(1)
		go func() {
			defer all.Done()
			c := &Client{Address: f.Boxes[n%len(f.Boxes)].Clients}
			defer c.Close()
			for i, end := 0, time.Now().Add(d); time.Now().Before(end); i++ {
				began := time.Now()
				a := c.Do("GET", "/read/1", fmt.Sprintf("%s-%d-%d-%d", key, n, i, began.UnixNano()), "", bearer(key)+fmt.Sprintf("X-Stoneworks-Affinity-Key: %d\r\n", i%20))
				mu.Lock()
				s.took = append(s.took, time.Since(began))
				s.statuses[a.Status]++
				if a.Status == 429 {
					s.retryAfter, _ = strconv.ParseFloat(a.Header.Get("Retry-After"), 64)
				}
				mu.Unlock()
				time.Sleep(every)
			}
		}()
	}
	all.Wait()
	slices.Sort(s.took)
	return s
}

// maxInWindow returns the maximum number of a customer's requests that started within any window.
func (f *Fleet) maxInWindow(customer string, window time.Duration) int {
	var times []time.Time
	for _, r := range f.runs() {
		if r.Header.Get("X-Stoneworks-Tenant") == customer {
			times = append(times, r.At)
		}
	}
	most := 0
	for _, start := range times {
		n := 0
		for _, at := range times {
			if d := at.Sub(start); d >= 0 && d <= window {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// allowedInFiveSeconds returns how many requests a limit may admit in 5 s.
func allowedInFiveSeconds(rate, burst float64) int { return int((rate*5+burst)*1.1 + 20) }

// TestLimitsHoldOverAllBoxes checks that a customer that sends far more than its limit to all boxes
// at once is limited over all of them and gets 429 with Retry-After, while no request of another
// customer, which is below its limit, is refused.
func TestLimitsHoldOverAllBoxes(t *testing.T) {
	is := is.New(t)
	f := newCustomerFleet(t, io.Discard, 6, []Customer{
		{Name: "studio", Keys: []string{studioKey}, Rate: 30, Burst: 15},
		{Name: "label", Keys: []string{labelKey}, Rate: 100, Burst: 100},
	})
	// Let the token buckets fill.
	time.Sleep(2 * time.Second)
	var studio, label *loadResult
	var all sync.WaitGroup
	all.Add(2)
	go func() {
		defer all.Done()
		studio = sendFor(f, studioKey, 10*time.Millisecond, 12, 4*time.Second)
	}()
	go func() {
		defer all.Done()
		label = sendFor(f, labelKey, 200*time.Millisecond, 6, 4*time.Second)
	}()
	all.Wait()
	allowed := allowedInFiveSeconds(30, 15)
	most := f.maxInWindow("studio", 5*time.Second)
	t.Logf("studio %v, %d in 5 s of %d; label %v", studio.statuses, most, allowed, label.statuses)
	is.True(most <= allowed)
	is.True(studio.statuses[200] >= 60)
	is.True(studio.statuses[429] > 10*studio.statuses[200]/4)
	is.True(studio.retryAfter > 0)
	is.Equal(label.statuses[200] > 60, true)
	is.Equal(len(label.statuses), 1)
}

// TestACustomerFarOverItsLimitCostsOthersNothing checks that a customer that sends thirty times its
// limit, more than the capacity of all servers, does not affect another one: none of its requests
// is refused, and their 99th percentile grows by at most two service times. Without the limit most
// of them are refused.
func TestACustomerFarOverItsLimitCostsOthersNothing(t *testing.T) {
	is := is.New(t)
	const (
		work  = 50 * time.Millisecond
		slots = 2
		rate  = 20
	)
	f := newCustomerFleet(t, io.Discard, 6, []Customer{
		{Name: "studio", Keys: []string{studioKey}, Rate: rate, Burst: rate},
		{Name: "label", Keys: []string{labelKey}, Rate: 1000, Burst: 1000},
	})
	for _, s := range f.Servers {
		s.Work, s.Slots, s.Queue = work, slots, 3*slots
	}
	time.Sleep(time.Second)
	alone := sendFor(f, labelKey, 200*time.Millisecond, 6, 3*time.Second)
	is.Equal(alone.statuses[200], len(alone.took))
	done := make(chan *loadResult)
	go func() { done <- sendFor(f, studioKey, 100*time.Millisecond, 30*rate/10, 4*time.Second) }()
	time.Sleep(500 * time.Millisecond)
	beside := sendFor(f, labelKey, 200*time.Millisecond, 6, 3*time.Second)
	studio := <-done
	t.Logf("99th percentile %v alone, %v beside %v", alone.p99(), beside.p99(), studio.statuses)
	is.Equal(beside.statuses[200], len(beside.took))
	is.True(beside.p99() <= alone.p99()+2*work)
	is.True(studio.statuses[429] > 10*studio.statuses[200]/2)
}

// TestABoxThatIsLostLeavesTheLimits checks that the other boxes keep their shares of a limit when a
// box is lost, and that the lost box's share is not granted twice.
func TestABoxThatIsLostLeavesTheLimits(t *testing.T) {
	is := is.New(t)
	f := newCustomerFleet(t, io.Discard, 6, []Customer{{Name: "studio", Keys: []string{studioKey}, Rate: 40, Burst: 20}})
	time.Sleep(time.Second)
	done := make(chan *loadResult)
	go func() { done <- sendFor(f, studioKey, 20*time.Millisecond, 12, 4*time.Second) }()
	time.Sleep(time.Second)
	f.Boxes[0].Stop()
	statuses := (<-done).statuses
	most := f.maxInWindow("studio", 5*time.Second)
	t.Logf("%v, %d in 5 s", statuses, most)
	is.True(most <= allowedInFiveSeconds(40, 20))
	is.True(statuses[200] >= 80)
}

// TestALimitThatIsRefusedHasNotRun checks that a request that gets 429 was not executed, and that the
// 429 is sent before the body is read.
func TestALimitThatIsRefusedHasNotRun(t *testing.T) {
	is := is.New(t)
	f := newCustomerFleet(t, io.Discard, 1, []Customer{{Name: "studio", Keys: []string{studioKey}, Rate: 1}})
	client := &Client{Address: f.Boxes[0].Clients}
	defer client.Close()
	refused := 0
	for i := range 60 {
		id := fmt.Sprint("id-", i)
		a := client.Do("POST", "/buy/1", id, "the body", bearer(studioKey))
		is.NoErr(a.Problem)
		if a.Status != 429 {
			continue
		}
		refused++
		for _, r := range f.runs() {
			is.True(r.ID != id)
		}
	}
	is.True(refused > 20)
	// The body of this request is never sent.
	slow := &Client{Address: f.Boxes[0].Clients}
	defer slow.Close()
	is.NoErr(slow.Send("PUT", "/buy/1", "slow", "", bearer(studioKey)+"Content-Length: 100\r\n"))
	a := slow.Read()
	is.NoErr(a.Problem)
	is.Equal(a.Status, 429)
}

// TestAFleetThatStartsServesLimitedCustomersSoon checks that boxes that start together, with the
// seed box as the last, know each other and hold shares of limits within 500 ms of the last
// box's start.
func TestAFleetThatStartsServesLimitedCustomersSoon(t *testing.T) {
	is := is.New(t)
	f := newCustomerFleet(t, io.Discard, 0, []Customer{{Name: "studio", Keys: []string{studioKey}, Rate: 40, Burst: 20}})
	f.ChangeSettings = func(s *settings.Settings) { s.Seeds = []string{f.network + ".4:8102"} }
	for range 4 {
		_, err := f.AddBox("east-a")
		is.NoErr(err)
	}
	start := time.Now()
	client := &Client{Address: f.Boxes[0].Clients}
	defer client.Close()
	eventually(t, "a request is served", func() bool {
		return client.Do("GET", "/read/1", fmt.Sprint(time.Now()), "", bearer(studioKey)).Status == 200
	})
	took := time.Since(start)
	t.Logf("served after %v", took)
	is.True(took < 500*time.Millisecond)
}

// TestOperatorsSeeWhoIsRefused checks that stoneworksctl shows refused requests by customer and
// region from the boxes' admin addresses, and of an API key only the beginning of its digest.
func TestOperatorsSeeWhoIsRefused(t *testing.T) {
	is := is.New(t)
	f := newCustomerFleet(t, io.Discard, 3, []Customer{
		{Name: "studio", Keys: []string{studioKey}, Rate: 5, Burst: 5}, {Name: "label", Keys: []string{labelKey}},
	})
	statuses := sendFor(f, studioKey, 10*time.Millisecond, 6, 500*time.Millisecond).statuses
	is.True(statuses[429] > 0)
	args := []string{"customers"}
	for _, b := range f.Boxes {
		args = append(args, b.IP+":8103")
	}
	var out, problems bytes.Buffer
	is.Equal(ctl.Main(args, nil, &out, &problems), ctl.ExitOK)
	lines := strings.Split(out.String(), "\n")
	is.True(strings.HasPrefix(lines[1], "studio"))
	fields := strings.Fields(lines[1])
	is.Equal(fields[1], "5/s")
	is.Equal(fields[8], fmt.Sprint(statuses[429]))
	is.True(strings.Contains(lines[1], customer.DigestOf(studioKey).String()))
	is.True(strings.Contains(lines[1], "east ") && strings.Contains(lines[1], "west "))
	is.True(!strings.Contains(out.String(), keysPart))
	is.Equal(ctl.Main([]string{"customers", "127.0.0.1:1"}, nil, &out, &problems), ctl.ExitFailed)
	is.True(strings.Contains(problems.String(), "127.0.0.1:1"))
}
