package exchange

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"
)

// ResetConn is a TCP connection on which one goroutine may read while another one writes. The kernel
// reports a reset once, and after that a read returns io.EOF, as if the peer had closed the connection
// in order. If a write was told of the reset, Read returns it as well.
type ResetConn struct {
	net.Conn
	// writing is held during a write.
	writing sync.Mutex
	isReset atomic.Bool
}

// NewResetConn returns a connection over c.
func NewResetConn(c net.Conn) *ResetConn { return &ResetConn{Conn: c} }

// Write implements net.Conn.
func (c *ResetConn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if errors.Is(err, syscall.ECONNRESET) {
		c.isReset.Store(true)
	}
	return n, err
}

// Read implements net.Conn. It returns io.EOF only if the peer has closed its side in order.
func (c *ResetConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) && c.wasReset() {
		return n, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: syscall.ECONNRESET}
	}
	return n, err
}

// wasReset reports whether a write was told of a reset. A write that is in progress may be returning it.
// It is waited for only where the connection has ended in both directions, so that it returns at once:
// if the peer has only closed its own side, a write may wait for the peer to read on. A reset that
// follows an orderly close is another error, EPIPE.
func (c *ResetConn) wasReset() bool {
	if c.hasEnded() {
		c.writing.Lock()
		defer c.writing.Unlock()
	}
	return c.isReset.Load()
}

// tcpClose is the state TCP_CLOSE of the kernel's connections.
const tcpClose = 7

// hasEnded reports whether the connection has ended in both directions, false if that is not known.
func (c *ResetConn) hasEnded() bool {
	raw, err := RawConn(c.Conn)
	if err != nil {
		return false
	}
	hasEnded := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		hasEnded = err == nil && info.State == tcpClose
	})
	return err == nil && hasEnded
}

// SetLinger sets the option of the connection, see net.TCPConn.
func (c *ResetConn) SetLinger(seconds int) error { return SetLinger(c.Conn, seconds) }

// SyscallConn implements syscall.Conn.
func (c *ResetConn) SyscallConn() (syscall.RawConn, error) { return RawConn(c.Conn) }

// SetLinger sets the option of a connection if it has the option, see net.TCPConn.
func SetLinger(c net.Conn, seconds int) error {
	if tcp, ok := c.(interface{ SetLinger(seconds int) error }); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}

// RawConn returns the raw connection of c. The error is errors.ErrUnsupported if there is none.
func RawConn(c net.Conn) (syscall.RawConn, error) {
	if raw, ok := c.(syscall.Conn); ok {
		return raw.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}
