package main

import (
	"bufio"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"time"
)

// client sends requests over one kept connection to a box.
type client struct {
	box  *box
	conn net.Conn
	r    *bufio.Reader
}

// upload is one request and what became of it.
type upload struct {
	id    string
	box   string
	bytes int
	sum   [sha256.Size]byte
	sent  time.Time
	// status is that of the whole answer, 0 if there was none, and err the reason for that.
	status int
	signed bool
	err    error
	took   time.Duration
}

const (
	host = "jepu9.example"
	// clientTimeout is how long a client waits for its answer.
	clientTimeout = 4 * time.Second
	// chunk is how much of a body is sent at a time, with a pause where the body comes in chunks.
	chunk      = 64 << 10
	chunkPause = 8 * time.Millisecond
)

// open opens a new connection and sends a small request on it, so that it counts as kept.
func (c *client) open(id string) error {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	conn, err := net.DialTimeout("tcp4", c.box.front(), time.Second)
	if err != nil {
		return err
	}
	c.conn, c.r = conn, bufio.NewReader(conn)
	return c.send(id, []byte("a small body"), false).err
}

// send sends an upload, with a length or in chunks, and reads its answer at the same time.
func (c *client) send(id string, body []byte, inChunks bool) *upload {
	one := &upload{id: id, box: c.box.name, bytes: len(body), sum: sha256.Sum256(body), sent: time.Now()}
	_ = c.conn.SetDeadline(one.sent.Add(clientTimeout + time.Second))
	written := make(chan error, 1)
	go func() { written <- c.write(id, body, inChunks) }()
	one.status, one.signed, one.err = c.read(id)
	one.took = time.Since(one.sent)
	if one.err != nil {
		_ = c.conn.Close()
		<-written
		c.conn = nil
		return one
	}
	if err := <-written; err != nil {
		one.err = err
	}
	return one
}

func (c *client) write(id string, body []byte, inChunks bool) error {
	length := fmt.Sprintf("Content-Length: %d", len(body))
	if inChunks {
		length = "Transfer-Encoding: chunked"
	}
	_, err := fmt.Fprintf(c.conn, "POST /fiti832/ti23/2f HTTP/1.1\r\nHost: %s\r\nX-Stoneworks-Request-Id: %s\r\nX-Stoneworks-Affinity-Key: %s\r\nX-Stoneworks-Request-Timeout-Ms: %d\r\n%s\r\n\r\n",
		host, id, id, clientTimeout.Milliseconds(), length)
	for len(body) > 0 && err == nil {
		part := body[:min(len(body), chunk)]
		body = body[len(part):]
		if !inChunks {
			_, err = c.conn.Write(part)
			continue
		}
		_, err = fmt.Fprintf(c.conn, "%x\r\n%s\r\n", len(part), part)
		time.Sleep(chunkPause)
	}
	if inChunks && err == nil {
		_, err = io.WriteString(c.conn, "0\r\n\r\n")
	}
	return err
}

// read reads one whole answer.
func (c *client) read(id string) (status int, signed bool, err error) {
	answer, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return 0, false, err
	}
	defer func() { _ = answer.Body.Close() }()
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		return 0, false, err
	}
	if other := answer.Header.Get("X-Stoneworks-Request-Id"); other != id {
		return 0, false, fmt.Errorf("an answer to request %q", other)
	}
	return answer.StatusCode, answer.Header.Get("X-Stoneworks-Response-Signature") != "", nil
}

// closedUnanswered reports whether the connection was closed before a byte of an answer.
func (u *upload) closedUnanswered() bool {
	return errors.Is(u.err, io.EOF) || errors.Is(u.err, io.ErrUnexpectedEOF)
}

// randomBody returns a body that is the same in each run for the same seed.
func randomBody(seed int64, size int) []byte {
	body := make([]byte, size)
	_, _ = rand.New(rand.NewSource(seed)).Read(body)
	return body
}
