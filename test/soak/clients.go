package soak

import (
	"fmt"
	"math/rand"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/stoneworks/stoneworks/test/machines"
	"github.com/stoneworks/stoneworks/test/processes"
)

// ================================================================
// Clients: some for each box, which keep a connection until the box closes it
// or is gone, and one that asks each box which configuration it follows.
// ================================================================

const (
	clientsEach = 3
	clientPause = 25 * time.Millisecond
	probePause  = 150 * time.Millisecond
	keys        = 40
	clientWaits = 3 * time.Second
	// goneShare of the requests are left before they are answered, after
	// goneAfter.
	goneShare = 0.02
	goneAfter = 8 * time.Millisecond
	// aheadShare of the requests that may be repeated are sent with up to mostAhead others, before
	// the first one is answered.
	aheadShare = 0.2
	mostAhead  = 5
)

// routes are those that every configuration has.
var routes = []machines.Route{
	{Prefix: "/read/", Kind: "safe", Service: "shop", TimeoutMS: 1200},
	{Prefix: "/buy/", Kind: "unsafe", Service: "shop", TimeoutMS: 1200},
	{Prefix: "/up/", Kind: "upload", Service: "desk", TimeoutMS: 2000},
}

// markerRoute is a route that only one version of the configuration has.
func markerRoute(version int) machines.Route {
	return machines.Route{Prefix: fmt.Sprintf("/version-%d/", version), Kind: "safe", Service: "shop", TimeoutMS: 1200}
}

var (
	nextMu sync.Mutex
	next   int
)

// newID returns an id that no other request of this process has.
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
		group.Go(func() { r.prober(b, end) })
		group.Go(func() { r.presser(b, end) })
		group.Go(func() { r.keyProber(b, end) })
	}
}

// client sends requests to one box until the end. It goes on using its
// connection until that breaks or the box asks for its end.
func (r *run) client(b *processes.Box, random *rand.Rand, end time.Time) {
	c := &machines.Client{Address: b.Clients()}
	defer c.Close()
	for time.Now().Before(end) {
		route := routes[random.Intn(len(routes))]
		q := newRequest(b, &route, random)
		switch {
		case random.Float64() < goneShare:
			r.leave(c, &q, random)
		case route.Kind == "safe" && random.Float64() < aheadShare:
			r.askAhead(c, b, &route, random)
			time.Sleep(clientPause)
			continue
		default:
			r.ask(c, &q, random)
		}
		r.note(func(h *History) { h.Requests = append(h.Requests, q) })
		time.Sleep(clientPause)
	}
}

// newRequest returns a request of the route that is sent now.
func newRequest(b *processes.Box, route *machines.Route, random *rand.Rand) Request {
	q := Request{
		ID: newID(), Kind: route.Kind, Method: "GET", Target: route.Prefix + fmt.Sprint(random.Intn(1000)),
		Box: b.IP, Life: b.Life(), Timeout: time.Duration(route.TimeoutMS) * time.Millisecond, Sent: time.Now(),
	}
	if route.Kind != "safe" {
		q.Method, q.Body = "POST", "body of "+q.ID
	}
	return q
}

func (r *run) ask(c *machines.Client, q *Request, random *rand.Rand) {
	read(c, q, c.Do(q.Method, q.Target, q.ID, q.Body, extraOf(random)))
}

// askAhead sends requests before the first of them is answered. Those behind an answer that closes the
// connection, or breaks off, get none; they may have run, since they may be repeated.
func (r *run) askAhead(c *machines.Client, b *processes.Box, route *machines.Route, random *rand.Rand) {
	var sent []Request
	isOpen := true
	for range 2 + random.Intn(mostAhead-1) {
		q := newRequest(b, route, random)
		sent = append(sent, q)
		if c.Send(q.Method, q.Target, q.ID, q.Body, extraOf(random)) != nil {
			c.Close()
			isOpen = false
			break
		}
	}
	for i := range sent {
		q := &sent[i]
		if isOpen {
			answer := c.Read()
			read(c, q, answer)
			isOpen = answer.Problem == nil && !answer.CloseAnnounced
		} else {
			q.Ended = time.Now()
		}
		r.note(func(h *History) { h.Requests = append(h.Requests, *q) })
	}
}

// read notes what a client got.
func read(c *machines.Client, q *Request, answer *machines.Answer) {
	q.Ended = time.Now()
	if answer.Problem != nil {
		c.Close()
		return
	}
	q.Status = answer.Status
	q.Whole = answer.Body == machines.AnswerBody(q.ID)
	q.Signed = answer.Header.Get("X-Stoneworks-Response-Signature") != ""
	if !q.Signed {
		q.Reason = strings.TrimSpace(answer.Body)
	}
}

// leave sends a request and closes the connection before the answer.
func (r *run) leave(c *machines.Client, q *Request, random *rand.Rand) {
	if c.Send(q.Method, q.Target, q.ID, q.Body, extraOf(random)) == nil {
		time.Sleep(goneAfter)
	}
	c.Close()
	// The client knows nothing of it, as if it had waited too long.
	q.Ended = q.Sent.Add(q.Timeout + time.Nanosecond)
}

func extraOf(random *rand.Rand) string {
	return claims(keyOf(usualCustomer)) + fmt.Sprintf("X-Stoneworks-Affinity-Key: %d\r\nX-Stoneworks-Request-Timeout-Ms: %d\r\n", random.Intn(keys), clientWaits.Milliseconds())
}

// prober asks the box for the paths of the newest configuration and of the one
// before, in turn.
func (r *run) prober(b *processes.Box, end time.Time) {
	c := &machines.Client{Address: b.Clients()}
	defer c.Close()
	for n := 0; time.Now().Before(end); n++ {
		newest := 0
		r.note(func(h *History) { newest = h.Configurations[len(h.Configurations)-1].Version })
		version := max(1, newest-n%2)
		life, at := b.Life(), time.Now()
		q := Request{
			ID: newID(), Kind: "safe", Method: "GET", Target: markerRoute(version).Prefix, Box: b.IP, Life: life,
			Timeout: time.Second + 200*time.Millisecond, Sent: at,
		}
		answer := c.Do(q.Method, q.Target, q.ID, "", claims(keyOf(usualCustomer))+"X-Stoneworks-Request-Timeout-Ms: 1000\r\n")
		q.Ended = time.Now()
		if answer.Problem != nil {
			c.Close()
		} else {
			q.Status = answer.Status
			q.Whole = answer.Status != http.StatusOK || answer.Body == machines.AnswerBody(q.ID)
			q.Signed = answer.Header.Get("X-Stoneworks-Response-Signature") != ""
		}
		r.note(func(h *History) {
			// It is no part of what is asked of the recovery.
			if q.Status == http.StatusOK {
				h.Requests = append(h.Requests, q)
			} else {
				h.Left = append(h.Left, q)
			}
			if life == b.Life() {
				h.Probes = append(h.Probes, Probe{Box: b.IP, Life: life, Version: version, At: at, Status: q.Status})
			}
		})
		time.Sleep(probePause)
	}
}
