package machines

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Cut is how a box is cut off from backend servers, while clients, the store and other boxes
// still reach it.
type Cut int

// The cuts.
const (
	// NotCut is a working link.
	NotCut Cut = iota
	// Hanging carries no data and opens no connection.
	Hanging
	// ResetAll resets the open connections and refuses new ones.
	ResetAll
	// RefusesNew refuses new connections. The open ones work.
	RefusesNew
)

// Cuts are the cuts by name.
var Cuts = map[string]Cut{"": NotCut, "hanging": Hanging, "reset": ResetAll, "refuses-new": RefusesNew}

// The times after which a box's kernel gives up a peer that does not answer: an attempt to
// connect, data that stays unacknowledged, and the keep-alive probes of an idle connection.
const (
	connectGivesUp = 600 * time.Millisecond
	dataGivesUp    = 1500 * time.Millisecond
	idleGivesUp    = 3 * time.Second
)

// Links simulates the links between a box and the backend servers, and those to other boxes.
type Links struct {
	// Connect opens a connection, and IsServer reports whether an address is that of a server.
	// Both are required.
	Connect  func(ctx context.Context, address string) (net.Conn, error)
	IsServer func(address string) bool
	// BreaksOpen reports whether a cut also affects the open connections to an address; nil means
	// that it affects those to servers only.
	BreaksOpen func(address string) bool

	mu  sync.Mutex
	cut Cut
	// only chooses the addresses that are cut off; nil means those of all servers.
	only  func(address string) bool
	conns map[*linkConn]bool
}

// CutFromServers cuts the box off from backend servers, and from boxes that only chooses; see
// Links.Set.
func (b *Box) CutFromServers(cut Cut, only func(address string) bool) { b.machine.links.Set(cut, only) }

// Set cuts the links to the addresses that only chooses, or to all backend servers if that is nil.
// The open connections to other boxes stay as they are, unless BreaksOpen chooses them. NotCut
// restores the links; connections that hung stay dead.
func (l *Links) Set(cut Cut, only func(address string) bool) {
	l.mu.Lock()
	l.cut, l.only = cut, only
	var affected []*linkConn
	for c := range l.conns {
		if l.isCut(c.address) {
			affected = append(affected, c)
		}
	}
	l.mu.Unlock()
	for _, c := range affected {
		switch cut {
		case Hanging:
			c.hang()
		case ResetAll:
			c.fail(syscall.ECONNRESET)
		}
	}
}

// isCut reports whether the link to an address is cut. The caller holds the lock.
func (l *Links) isCut(address string) bool {
	if l.cut == NotCut {
		return false
	}
	if l.only == nil {
		return l.IsServer(address)
	}
	return l.only(address)
}

// Dial opens a connection as the box's kernel would.
func (l *Links) Dial(ctx context.Context, address string) (net.Conn, error) {
	l.mu.Lock()
	cut := l.cut
	if !l.isCut(address) {
		cut = NotCut
	}
	l.mu.Unlock()
	switch cut {
	case Hanging:
		ctx, cancel := context.WithTimeout(ctx, connectGivesUp)
		defer cancel()
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: "tcp4", Err: os.ErrDeadlineExceeded}
	case ResetAll, RefusesNew:
		return nil, &net.OpError{Op: "dial", Net: "tcp4", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	}
	c, err := l.Connect(ctx, address)
	breaksOpen := l.BreaksOpen
	if breaksOpen == nil {
		breaksOpen = l.IsServer
	}
	if err != nil || !breaksOpen(address) {
		return c, err
	}
	conn := &linkConn{TCPConn: c.(*net.TCPConn), address: address, links: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns == nil {
		l.conns = map[*linkConn]bool{}
	}
	l.conns[conn] = true
	return conn, nil
}

// linkConn is a connection whose link may be cut.
type linkConn struct {
	*net.TCPConn
	address string
	links   *Links

	mu      sync.Mutex
	hanging bool
	// failure is the error of the connection, 0 if there is none.
	failure syscall.Errno
}

// hang makes the connection carry no more data. It fails when its kernel would give it up.
func (c *linkConn) hang() {
	c.mu.Lock()
	c.hanging = true
	c.mu.Unlock()
	time.AfterFunc(idleGivesUp, func() { c.fail(syscall.ETIMEDOUT) })
}

// fail ends the connection with an error.
func (c *linkConn) fail(failure syscall.Errno) {
	c.mu.Lock()
	if c.failure == 0 {
		c.failure = failure
	}
	c.mu.Unlock()
	_ = c.TCPConn.SetLinger(0)
	_ = c.TCPConn.Close()
}

// state returns whether the connection hangs, and its error.
func (c *linkConn) state() (hanging bool, failure error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failure != 0 {
		return c.hanging, &net.OpError{Op: "read", Net: "tcp4", Err: os.NewSyscallError("read", c.failure)}
	}
	return c.hanging, nil
}

// Write implements net.Conn.
func (c *linkConn) Write(p []byte) (int, error) {
	hanging, failure := c.state()
	switch {
	case failure != nil:
		return 0, failure
	case hanging:
		time.AfterFunc(dataGivesUp, func() { c.fail(syscall.ETIMEDOUT) })
		return len(p), nil
	}
	return c.TCPConn.Write(p)
}

// Read implements net.Conn.
func (c *linkConn) Read(p []byte) (int, error) {
	for {
		n, err := c.TCPConn.Read(p)
		hanging, failure := c.state()
		switch {
		case failure != nil:
			return 0, failure
		case hanging && err == nil:
			continue // lost on the link
		}
		return n, err
	}
}

// Close implements net.Conn.
func (c *linkConn) Close() error {
	c.links.mu.Lock()
	delete(c.links.conns, c)
	c.links.mu.Unlock()
	return c.TCPConn.Close()
}
