package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// requestID returns a new request id.
func requestID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// requestText returns a request without a body.
func requestText(method, path, id, key string, timeout time.Duration) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Stoneworks-Request-Id: %s\r\nX-Stoneworks-Affinity-Key: %s\r\nX-Stoneworks-Request-Timeout-Ms: %d\r\n\r\n",
		method, path, host, id, key, timeout.Milliseconds())
}

// reply is what a client got for a request: the status, 0 if there was no whole answer.
type reply struct {
	status int
	body   string
	err    error
	// closes is set if the answer announces that the connection closes.
	closes bool
}

// readReply reads an answer.
func readReply(c net.Conn, r *bufio.Reader, method string, until time.Time) reply {
	_ = c.SetReadDeadline(until)
	answer, err := http.ReadResponse(r, &http.Request{Method: method})
	if err != nil {
		return reply{err: err}
	}
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return reply{err: err}
	}
	return reply{status: answer.StatusCode, body: string(body), closes: answer.Close}
}

// once sends one request on a connection of its own.
func (s *stage) once(b *box, from, method, path, id, key string, timeout time.Duration) (answer reply) {
	s.countSent()
	defer func() { s.countEnd(answer.status) }()
	c, err := b.dial(from)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = c.Close() }()
	if _, err := io.WriteString(c, requestText(method, path, id, key, timeout)); err != nil {
		return reply{err: err}
	}
	return readReply(c, bufio.NewReader(c), method, time.Now().Add(timeout))
}
