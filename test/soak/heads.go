package soak

import (
	"fmt"
	"io"
	"math/rand"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/stoneworks/stoneworks/test/machines"
	"github.com/stoneworks/stoneworks/test/processes"
)

// ================================================================
// Clients that send heads of unusual shapes, within the limit of the configuration.
// ================================================================

const (
	// oddClients is how many clients send odd heads at once.
	oddClients = 3
	oddPause   = 100 * time.Millisecond
	// ordinaryHead is more bytes than the ordinary part of a head takes.
	ordinaryHead = 600
	// withheldBytes is the length of a body that is announced and not sent.
	withheldBytes = 1000
)

// oddLines return header lines of at most the given number of bytes.
var oddLines = []func(bytes int) string{shortLines, oddNames, repeatedName, manyOptions, longLine}

// shortLines returns lines with different short names.
func shortLines(bytes int) string {
	return numberedLines(bytes, func(i int) string { return "z" + strconv.FormatInt(int64(i), 36) + ":" })
}

// oddNames returns lines whose names hold all the punctuation that names may hold.
func oddNames(bytes int) string {
	return numberedLines(bytes, func(i int) string { return fmt.Sprintf("%x!#$%%&'*+-.^_`|~:", i) })
}

// repeatedName returns one line many times.
func repeatedName(bytes int) string {
	return numberedLines(bytes, func(int) string { return "z:" })
}

// numberedLines returns as many lines as fit.
func numberedLines(bytes int, line func(i int) string) string {
	var b strings.Builder
	for i := 0; ; i++ {
		next := line(i) + "\r\n"
		if b.Len()+len(next) > bytes {
			return b.String()
		}
		b.WriteString(next)
	}
}

// manyOptions returns a Connection line with many options.
func manyOptions(bytes int) string {
	const begin, end = "Connection: z", "\r\n"
	return begin + strings.Repeat(",z", (bytes-len(begin)-len(end))/2) + end
}

// longLine returns a single long line.
func longLine(bytes int) string {
	const begin, end = "Z: ", "\r\n"
	return begin + strings.Repeat("z", bytes-len(begin)-len(end)) + end
}

// sendOddHeads sends odd heads to random boxes for the time of an event.
func (r *run) sendOddHeads(e Event) {
	end := time.Now().Add(e.Duration)
	for n := range oddClients {
		random := rand.New(rand.NewSource(int64(e.Target + n)))
		r.injections.Go(func() {
			for ; time.Now().Before(end); time.Sleep(oddPause) {
				b := r.boxes[random.Intn(len(r.boxes))]
				lines := oddLines[random.Intn(len(oddLines))](r.fleet.MaxHeader - ordinaryHead)
				switch random.Intn(4) {
				case 0:
					r.withholdEnd(b, lines, e.Duration)
				case 1:
					r.withholdBody(b, lines, e.Duration, random)
				default:
					r.sendOddHead(b, lines, random)
				}
			}
		})
	}
}

// sendOddHead sends a whole request with these header lines.
func (r *run) sendOddHead(b *processes.Box, lines string, random *rand.Rand) {
	q := newRequest(b, &routes[random.Intn(len(routes))], random)
	c := &machines.Client{Address: b.Clients()}
	defer c.Close()
	recordAnswer(c, &q, c.Do(q.Method, q.Target, q.ID, q.Body, extraHeaders(random)+lines))
	r.update(func(h *History) { h.SideRequests = append(h.SideRequests, q) })
}

// withholdBody sends a head with these lines and never the body that it announces.
func (r *run) withholdBody(b *processes.Box, lines string, d time.Duration, random *rand.Rand) {
	q := newRequest(b, &routes[1], random)
	c := &machines.Client{Address: b.Clients()}
	defer c.Close()
	conn, err := c.Begin(q.Method, q.Target, q.ID, extraHeaders(random)+lines+fmt.Sprintf("Content-Length: %d\r\n", withheldBytes))
	if err == nil {
		waitForClose(conn, d)
	}
	q.Ended = time.Now()
	r.update(func(h *History) { h.SideRequests = append(h.SideRequests, q) })
}

// withholdEnd sends a head with these lines that does not end.
func (r *run) withholdEnd(b *processes.Box, lines string, d time.Duration) {
	conn, err := net.DialTimeout("tcp4", b.Clients(), time.Second)
	if err != nil {
		return // the box is down
	}
	defer func() { _ = conn.Close() }()
	if _, err := io.WriteString(conn, "GET /read/odd HTTP/1.1\r\nHost: shop.example\r\n"+lines); err == nil {
		waitForClose(conn, d)
	}
}

// waitForClose waits until the box closes the connection, or for d.
func waitForClose(conn net.Conn, d time.Duration) {
	_ = conn.SetReadDeadline(time.Now().Add(d))
	_, _ = io.Copy(io.Discard, conn)
}

// ownEnds finds processes that ended although nobody had stopped or killed them.
func ownEnds(h *History) (found []string) {
	for _, e := range h.Exits {
		if !h.hadFault(e.Box, e.At, e.At, BoxStop, BoxKill) {
			found = append(found, fmt.Sprintf("the process of %s ended by itself", e.Box))
		}
	}
	return found
}
