package tunnel

import (
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/stoneworks/stoneworks/pkg/exchange"
)

// The bytes that come from the server are sent in frames: their number in two bytes, then the
// bytes. A frame without bytes tells that the server has closed its connection orderly. A box
// that is killed closes its connections orderly too, which without frames would make an answer
// that ends with its connection look complete.

const (
	// frameHeader is the size of a frame's header in bytes.
	frameHeader = 2
	// retireFrame is the header, without bytes behind it, that tells not to send another request.
	retireFrame = 0xffff
)

// Conn is the connection to a server through another box.
type Conn struct {
	net.Conn
	// Box is the name of the box that passes the bytes on.
	Box string
	// Region is the region of that box, if the caller of Open has set it.
	Region string

	// left is how many bytes of the current frame have not been read; ended is true after the
	// last frame.
	left  int
	ended bool
	// retired is true once the box has told that no other request is to be sent.
	retired atomic.Bool
}

// Retired reports whether no other request is to be sent. A connection on which that has not been
// read has a byte to read, which makes it unusable as well.
func (c *Conn) Retired() bool { return c.retired.Load() }

// Read implements net.Conn. It returns io.EOF only if the server has closed its connection.
func (c *Conn) Read(p []byte) (int, error) {
	if c.ended {
		return 0, io.EOF
	}
	if c.left == 0 {
		if err := c.readHeader(); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(p[:min(len(p), c.left)])
	c.left -= n
	return n, unexpectedEnd(err)
}

func (c *Conn) readHeader() error {
	var header [frameHeader]byte
	for {
		if _, err := io.ReadFull(c.Conn, header[:]); err != nil {
			return unexpectedEnd(err)
		}
		switch n := int(binary.BigEndian.Uint16(header[:])); n {
		case retireFrame:
			c.retired.Store(true)
		case 0:
			c.ended = true
			return io.EOF
		default:
			c.left = n
			return nil
		}
	}
}

// unexpectedEnd returns the error for the end of the connection to the other box.
func unexpectedEnd(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Via returns the name of the box that passes the bytes on.
func (c *Conn) Via() string { return c.Box }

// SetLinger sets the option of the connection to the other box, see net.TCPConn.
func (c *Conn) SetLinger(seconds int) error { return exchange.SetLinger(c.Conn, seconds) }

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) { return exchange.RawConn(c.Conn) }

// frameWriter writes frames to another box.
type frameWriter struct {
	net.Conn
	mu sync.Mutex
}

// retire tells the other box not to send another request.
func (w *frameWriter) retire() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, err := w.Conn.Write(binary.BigEndian.AppendUint16(nil, retireFrame))
	return err
}

// passFramed copies bytes from a server's connection in frames.
func (w *frameWriter) passFramed(_, from net.Conn, buffer []byte) error {
	for {
		n, err := from.Read(buffer[frameHeader:])
		ended := errors.Is(err, io.EOF)
		if n > 0 {
			if err := w.writeFrame(buffer, n); err != nil {
				return err
			}
		}
		if ended {
			return w.writeFrame(buffer, 0)
		}
		if err != nil {
			return err
		}
	}
}

// writeFrame sends the first n bytes that follow the place of the header.
func (w *frameWriter) writeFrame(buffer []byte, n int) error {
	binary.BigEndian.PutUint16(buffer, uint16(n))
	w.mu.Lock()
	defer w.mu.Unlock()
	_, err := w.Conn.Write(buffer[:frameHeader+n])
	return err
}
