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
// reports once that a connection has failed, by a reset or since sent bytes were not acknowledged, and
// after that a read returns io.EOF, as if the peer had closed the connection in order. If a write was
// told of the failure, Read returns it as well.
type ResetConn struct {
	net.Conn
	// writing is held during a write.
	writing sync.Mutex
	// failure is the kernel's error that a write was told of, 0 if there was none.
	failure atomic.Uintptr
}

// NewResetConn returns a connection over c.
func NewResetConn(c net.Conn) *ResetConn { return &ResetConn{Conn: c} }

// Write implements net.Conn.
func (c *ResetConn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	var failure syscall.Errno
	if errors.As(err, &failure) && failure != syscall.EPIPE {
		c.failure.Store(uintptr(failure))
	}
	return n, err
}

// Read implements net.Conn. It returns io.EOF only if the peer has closed its side in order.
func (c *ResetConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if failure := c.writeFailure(err); failure != 0 {
		return n, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: failure}
	}
	return n, err
}

// writeFailure returns the failure of the connection that a write was told of, if a read returned io.EOF.
// A write that is in progress may be returning it. It is waited for only where the connection has ended
// in both directions, so that it returns at once: if the peer has only closed its own side, a write may
// wait for the peer to read on. A reset that follows an orderly close is another error, EPIPE.
func (c *ResetConn) writeFailure(readErr error) syscall.Errno {
	if !errors.Is(readErr, io.EOF) {
		return 0
	}
	if c.hasEnded() {
		c.writing.Lock()
		defer c.writing.Unlock()
	}
	return syscall.Errno(c.failure.Load())
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
