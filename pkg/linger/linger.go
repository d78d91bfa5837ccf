// Package linger closes connections so that the last answer arrives.
//
// A box may refuse an upload before it has read it. If it then simply closed the connection,
// the unread bytes would make the kernel send a reset, which can overtake the refusal. The
// caller would see a broken connection ("unknown") instead of "not run". The box therefore
// closes its writing side first and keeps reading for a moment what the caller is still
// sending.
package linger

import (
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
)

// Timeout is how long a connection is read after the last answer.
const Timeout = time.Second

// Listener accepts connections that can linger.
type Listener struct {
	*net.TCPListener
	closing conc.WaitGroup
}

// Listen opens a TCP listener on the address.
func Listen(address string) (*Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &Listener{TCPListener: l.(*net.TCPListener)}, nil
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &Conn{TCPConn: c, listener: l}, nil
}

// Conn is a connection that lingers on Close if Enable was called for it.
type Conn struct {
	*net.TCPConn
	listener *Listener
	linger   atomic.Bool
}

// Enable makes the connection linger when it is closed. It does nothing for connections of
// other types.
func Enable(c net.Conn) {
	if own, ok := c.(*Conn); ok {
		own.linger.Store(true)
	}
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	if !c.linger.CompareAndSwap(true, false) {
		return c.TCPConn.Close()
	}
	if err := c.CloseWrite(); err != nil {
		return c.TCPConn.Close()
	}
	_ = c.SetReadDeadline(time.Now().Add(Timeout))
	c.listener.closing.Go(func() {
		_, _ = io.Copy(io.Discard, c.TCPConn)
		_ = c.TCPConn.Close()
	})
	return nil
}
