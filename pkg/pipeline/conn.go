package pipeline

import (
	"errors"
	"net"
	"os"
)

const (
	// mostPending bounds what is read of a connection beyond the request that is served, in
	// bytes. A client that has sent more is seen to leave only when its request is answered.
	mostPending = 16 << 10
	// readSize is how much is read at a time of a connection that carries further requests, in bytes.
	readSize = 4 << 10
)

// Conn is a client's connection as net/http reads it. Reads hand out no byte of a request before
// the one in front of it is read whole.
type Conn struct {
	net.Conn
	framing framing
	// pending has come behind the request that is read or served.
	pending []byte
	// failure ended the connection's stream.
	failure error
}

// NewConn wraps a client's connection.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// CloseWrite ends what is written, before the connection is closed: a client may still be sending
// and must not lose its answer to a reset. net/http looks for this method.
func (c *Conn) CloseWrite() error {
	if tcp, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Read implements net.Conn. net/http calls it from one goroutine at a time.
func (c *Conn) Read(p []byte) (int, error) {
	switch {
	case c.failure != nil:
		return 0, c.failure
	case len(p) == 1 && c.framing.isBetween():
		// Only its look-out for a client that leaves reads a single byte there; what begins a
		// request reads as much as fits its buffer.
		return c.watch(p)
	case len(c.pending) > 0:
		return c.handOut(p), nil
	}
	n, err := c.Conn.Read(p)
	own := c.framing.advance(p[:n])
	if own < n {
		c.pending = append(c.pending[:0], p[own:n]...)
	}
	return own, c.note(err)
}

// handOut hands out what is pending of the next request.
func (c *Conn) handOut(p []byte) int {
	n := copy(p, c.pending)
	n = c.framing.advance(p[:n])
	c.pending = c.pending[:copy(c.pending, c.pending[n:])]
	return n
}

// watch reads until the client leaves, or until net/http stops it by a deadline. It returns a
// byte only when no more may be held.
func (c *Conn) watch(p []byte) (int, error) {
	for len(c.pending) < mostPending {
		chunk := p
		if len(c.pending) > 0 {
			chunk = make([]byte, readSize)
		}
		n, err := c.Conn.Read(chunk)
		c.pending = append(c.pending, chunk[:n]...)
		if err != nil {
			return 0, c.note(err)
		}
	}
	return c.handOut(p), nil
}

// note keeps an error that ends the stream, and returns it. A deadline does not end it.
func (c *Conn) note(err error) error {
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.failure = err
		c.pending = nil
	}
	return err
}
