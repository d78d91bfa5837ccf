package soak

import (
	"errors"
	"fmt"
	"math/rand"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/stoneworks/stoneworks/test/machines"
	"github.com/stoneworks/stoneworks/test/processes"
)

// ================================================================
// Clients: some for each box, which keep a connection until the box closes it or it breaks,
// and one for each box that probes which configuration the box follows.
// ================================================================

const (
	clientsEach = 3
	clientPause = 25 * time.Millisecond
	probePause  = 150 * time.Millisecond
	keys        = 40
	clientWaits = 3 * time.Second
	// abandonShare of the requests are abandoned without an answer, abandonAfter they were
	// sent.
	abandonShare = 0.02
	abandonAfter = 8 * time.Millisecond
	// pipelineShare of the requests that may be repeated are pipelined: up to maxPipelined
	// requests are sent before the first answer is read.
	pipelineShare = 0.2
	maxPipelined  = 5
)

// routes are the routes of every version of the configuration.
var routes = []machines.Route{
	{Prefix: "/read/", Kind: "safe", Service: "shop", TimeoutMS: 1200},
	{Prefix: "/buy/", Kind: "unsafe", Service: "shop", TimeoutMS: 1200},
	{Prefix: "/up/", Kind: "upload", Service: "desk", TimeoutMS: 2000},
}

// markerRoute returns the route that only this version of the configuration has.
func markerRoute(version int) machines.Route {
	return machines.Route{Prefix: fmt.Sprintf("/version-%d/", version), Kind: "safe", Service: "shop", TimeoutMS: 1200}
}

var (
	nextMu sync.Mutex
	next   int
)

// newID returns an id that is unique in this process.
func newID() string {
	nextMu.Lock()
	defer nextMu.Unlock()
	next++
	return fmt.Sprintf("r%d", next)
}

func (r *run) startClients(group *conc.WaitGroup, end time.Time) {
	for _, b := range r.boxes {
		for range clientsEach {
			random := rand.New(rand.NewSource(r.random.Int63()))
			group.Go(func() { r.client(b, random, end) })
		}
		group.Go(func() { r.probeConfiguration(b, end) })
		group.Go(func() { r.sendOverLimit(b, end) })
		group.Go(func() { r.probeOldKey(b, end) })
		if r.Plan.hasRestrictions() {
			for range restrictedClientsEach {
				random := rand.New(rand.NewSource(r.random.Int63()))
				group.Go(func() { r.restrictedClient(b, random, end) })
			}
		}
	}
}

// client sends requests to one box until the end. It reuses its connection until that breaks
// or the box announces that it closes it.
func (r *run) client(b *processes.Box, random *rand.Rand, end time.Time) {
	c := &machines.Client{Address: b.Clients()}
	defer c.Close()
	for time.Now().Before(end) {
		route := routes[random.Intn(len(routes))]
		q := newRequest(b, &route, random)
		switch {
		case random.Float64() < abandonShare:
			r.abandon(c, &q, random)
		case route.Kind == "safe" && random.Float64() < pipelineShare:
			r.sendPipelined(c, b, &route, random)
			time.Sleep(clientPause)
			continue
		default:
			r.send(c, &q, random)
		}
		r.update(func(h *History) { h.Requests = append(h.Requests, q) })
		time.Sleep(clientPause)
	}
}

// newRequest returns a request of the route, sent at the current time.
func newRequest(b *processes.Box, route *machines.Route, random *rand.Rand) Request {
	q := Request{
		ID: newID(), Kind: route.Kind, Method: "GET", Target: route.Prefix + fmt.Sprint(random.Intn(1000)),
		Box: b.IP, Incarnation: b.Incarnation(), Timeout: time.Duration(route.TimeoutMS) * time.Millisecond, Sent: time.Now(),
	}
	if route.Kind != "safe" {
		q.Method, q.Body = "POST", "body of "+q.ID
	}
	return q
}

func (r *run) send(c *machines.Client, q *Request, random *rand.Rand) {
	recordAnswer(c, q, c.Do(q.Method, q.Target, q.ID, q.Body, extraHeaders(random)))
}

// sendPipelined sends several requests before it reads the first answer. Requests behind an
// answer that closes the connection or is cut off get no answer; they may have run, which is
// allowed since they may be repeated.
func (r *run) sendPipelined(c *machines.Client, b *processes.Box, route *machines.Route, random *rand.Rand) {
	var sent []Request
	isOpen := true
	for range 2 + random.Intn(maxPipelined-1) {
		q := newRequest(b, route, random)
		sent = append(sent, q)
		if c.Send(q.Method, q.Target, q.ID, q.Body, extraHeaders(random)) != nil {
			c.Close()
			isOpen = false
			break
		}
	}
	for i := range sent {
		q := &sent[i]
		if isOpen {
			answer := c.Read()
			recordAnswer(c, q, answer)
			isOpen = answer.Problem == nil && !answer.CloseAnnounced
		} else {
			q.Ended = time.Now()
		}
		r.update(func(h *History) { h.Requests = append(h.Requests, *q) })
	}
}

// recordAnswer records in the request the answer that a client got.
func recordAnswer(c *machines.Client, q *Request, answer *machines.Answer) {
	q.Ended = time.Now()
	if answer.Problem != nil {
		c.Close()
		q.IsDropped = answer.RequestSent && answer.Status == 0 && !errors.Is(answer.Problem, os.ErrDeadlineExceeded)
		return
	}
	q.Status = answer.Status
	q.BodyMatches = answer.Body == machines.AnswerBody(q.ID)
	q.Signed = answer.Header.Get("X-Stoneworks-Response-Signature") != ""
	if !q.Signed {
		q.Reason = strings.TrimSpace(answer.Body)
	}
}

// abandon sends a request and closes the connection before the answer.
func (r *run) abandon(c *machines.Client, q *Request, random *rand.Rand) {
	if c.Send(q.Method, q.Target, q.ID, q.Body, extraHeaders(random)) == nil {
		time.Sleep(abandonAfter)
	}
	c.Close()
	// Nothing is known of its result, as after the client's timeout.
	q.Ended = q.Sent.Add(q.Timeout + time.Nanosecond)
}

func extraHeaders(random *rand.Rand) string { return customerRequestHeaders(usualCustomer, random) }

// customerRequestHeaders returns the further headers of a customer's request.
func customerRequestHeaders(customer string, random *rand.Rand) string {
	return customerHeaders(keyOf(customer)) + fmt.Sprintf("X-Stoneworks-Affinity-Key: %d\r\nX-Stoneworks-Request-Timeout-Ms: %d\r\n", random.Intn(keys), clientWaits.Milliseconds())
}

// probeConfiguration alternately requests the marker paths of the newest version of the
// configuration and of the one before.
func (r *run) probeConfiguration(b *processes.Box, end time.Time) {
	c := &machines.Client{Address: b.Clients()}
	defer c.Close()
	for n := 0; time.Now().Before(end); n++ {
		newest := 0
		r.update(func(h *History) { newest = h.Configurations[len(h.Configurations)-1].Version })
		version := max(1, newest-n%2)
		incarnation, at := b.Incarnation(), time.Now()
		q := Request{
			ID: newID(), Kind: "safe", Method: "GET", Target: markerRoute(version).Prefix, Box: b.IP, Incarnation: incarnation,
			Timeout: time.Second + 200*time.Millisecond, Sent: at,
		}
		answer := c.Do(q.Method, q.Target, q.ID, "", customerHeaders(keyOf(usualCustomer))+"X-Stoneworks-Request-Timeout-Ms: 1000\r\n")
		q.Ended = time.Now()
		if answer.Problem != nil {
			c.Close()
		} else {
			q.Status = answer.Status
			q.BodyMatches = answer.Status != http.StatusOK || answer.Body == machines.AnswerBody(q.ID)
			q.Signed = answer.Header.Get("X-Stoneworks-Response-Signature") != ""
		}
		r.update(func(h *History) {
			// Probes that fail do not count in the recovery.
			if q.Status == http.StatusOK {
				h.Requests = append(h.Requests, q)
			} else {
				h.SideRequests = append(h.SideRequests, q)
			}
			if incarnation == b.Incarnation() {
				h.Probes = append(h.Probes, Probe{Box: b.IP, Incarnation: incarnation, Version: version, At: at, Status: q.Status})
			}
		})
		time.Sleep(probePause)
	}
}
