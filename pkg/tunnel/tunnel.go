// Package tunnel passes connections to backend servers on for other boxes. A box asks another
// one with HTTP's CONNECT, and after the answer 200 that one only copies bytes. The end of one
// side ends the other in the same way, so that an answer that broke off does not look complete.
package tunnel

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/stoneworks/stoneworks/pkg/exchange"
)

// The statuses of an answer to CONNECT other than 200.
const (
	// StatusUnavailable: the box does not help now.
	StatusUnavailable = http.StatusServiceUnavailable
	// StatusServerRefused: the server's port refused the connection.
	StatusServerRefused = http.StatusBadGateway
	// StatusServerSilent: the server did not answer.
	StatusServerSilent = http.StatusGatewayTimeout
)

// StatusError reports that a box did not open a tunnel.
type StatusError struct {
	Address string
	Status  int
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("tunnel to %s: status %d", e.Address, e.Status)
}

// EarlyBytesError reports bytes that followed the answer to CONNECT, before anything was sent.
type EarlyBytesError struct{ Address string }

// Error implements error.
func (e *EarlyBytesError) Error() string { return "tunnel to " + e.Address + ": unexpected bytes" }

// headerServer names the server that is expected at the address.
const headerServer = "Stoneworks-Server"

// maxOpenAnswer is the longest answer to CONNECT in bytes.
const maxOpenAnswer = 4 << 10

// Open asks for a tunnel to a server on a connection to another box, whose name is given. It fails
// when the context ends. The error is a *StatusError, an *EarlyBytesError or that of the
// connection, which stays open.
func Open(ctx context.Context, conn net.Conn, box, server, address string) (*Conn, error) {
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if _, err := fmt.Fprintf(conn, "CONNECT %[1]s HTTP/1.1\r\nHost: %[1]s\r\n%[2]s: %[3]s\r\n\r\n", address, headerServer, server); err != nil {
		return nil, err
	}
	reader := bufio.NewReaderSize(io.LimitReader(conn, maxOpenAnswer), 512)
	answer, err := http.ReadResponse(reader, &http.Request{Method: http.MethodConnect})
	if err != nil {
		return nil, err
	}
	if answer.StatusCode != http.StatusOK {
		return nil, &StatusError{Address: address, Status: answer.StatusCode}
	}
	if reader.Buffered() > 0 {
		return nil, &EarlyBytesError{Address: address}
	}
	if !stop() {
		return nil, context.Cause(ctx)
	}
	return &Conn{Conn: conn, Box: box}, nil
}

// Server opens tunnels for other boxes. All fields are required.
type Server struct {
	// Accepts reports whether a tunnel to a server at an address may be opened now.
	Accepts func(server, address string) bool
	// Dial connects to a server.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// LinksWork checks whether this box can connect to another server than the one at the
	// address.
	LinksWork func(ctx context.Context, address string) bool
	// Prepare sets up a connection from another box that has become a tunnel.
	Prepare func(c net.Conn)
	// Count counts an event.
	Count func(name string)

	mu sync.Mutex
	// open holds the open tunnels, with the server that each leads to.
	open map[*frameWriter]string
}

// Open returns how many tunnels are open.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// Retire tells boxes to send no other request over their tunnels to a server, or over any if the
// name is empty. Requests in progress go on.
func (s *Server) Retire(server string) {
	s.mu.Lock()
	var retired []*frameWriter
	for t, to := range s.open {
		if server == "" || to == server {
			retired = append(retired, t)
		}
	}
	s.mu.Unlock()
	for _, t := range retired {
		if err := t.retire(); err != nil {
			abort(t.Conn) // its box no longer listens
		}
	}
}

// begin adds a tunnel and tells the other box that it is open. No frame comes before that.
func (s *Server) begin(t *frameWriter, server string) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	s.add(t, server)
	_, err := t.Conn.Write([]byte("HTTP/1.1 200 OK\r\n\r\n"))
	return err
}

func (s *Server) add(t *frameWriter, server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		s.open = map[*frameWriter]string{}
	}
	s.open[t] = server
}

func (s *Server) remove(t *frameWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, t)
}

// ServeHTTP implements http.Handler for CONNECT.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.Accepts(r.Header.Get(headerServer), r.Host) {
		s.Count("relay.refused")
		w.WriteHeader(StatusUnavailable)
		return
	}
	server, err := s.Dial(r.Context(), r.Host)
	if err != nil {
		s.Count("relay.failed")
		w.WriteHeader(s.statusOf(r, err))
		return
	}
	client, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		_ = server.Close()
		w.WriteHeader(StatusUnavailable)
		return
	}
	if outer, ok := client.(interface{ NetConn() net.Conn }); ok {
		client = outer.NetConn()
	}
	s.Count("relay.served")
	s.Prepare(client)
	_ = client.SetDeadline(time.Time{})
	t := &frameWriter{Conn: client}
	defer s.remove(t)
	if err := s.begin(t, r.Header.Get(headerServer)); err != nil {
		abort(client)
		abort(server)
		return
	}
	// The frames tell how the server's connection has ended, which is read and written at once.
	join(t, exchange.NewResetConn(server))
}

// statusOf returns the status for the error of an attempt to connect to a server.
func (s *Server) statusOf(r *http.Request, err error) int {
	switch {
	case !s.LinksWork(r.Context(), r.Host):
		return StatusUnavailable
	case errors.Is(err, syscall.ECONNREFUSED):
		return StatusServerRefused
	}
	return StatusServerSilent
}
