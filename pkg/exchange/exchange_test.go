package exchange

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"
)

// scriptedConn is a connection that returns the given answer, and fails writes after a given
// number of bytes.
type scriptedConn struct {
	net.Conn
	answer io.Reader
	// writeLimit is how many bytes may be written; -1 for any number.
	writeLimit int
	wrote      int
	closed     bool
}

var errBroken = errors.New("the connection broke")

func (c *scriptedConn) Read(p []byte) (int, error) { return c.answer.Read(p) }

func (c *scriptedConn) Write(p []byte) (int, error) {
	if c.writeLimit >= 0 && c.wrote+len(p) > c.writeLimit {
		n := max(0, c.writeLimit-c.wrote)
		c.wrote += n
		return n, errBroken
	}
	c.wrote += len(p)
	return len(p), nil
}

func (c *scriptedConn) Close() error                    { c.closed = true; return nil }
func (c *scriptedConn) SetDeadline(time.Time) error     { return nil }
func (c *scriptedConn) SetReadDeadline(time.Time) error { return nil }

func newTestPool(conns ...net.Conn) *Pool {
	return NewPool("nowhere", len(conns), func(context.Context, string) (net.Conn, error) {
		if len(conns) == 0 {
			return nil, errBroken
		}
		c := conns[0]
		conns = conns[1:]
		return c, nil
	})
}

func newRequest(body string) *Request {
	h := &fasthttp.RequestHeader{}
	h.SetMethod("POST")
	h.SetRequestURI("/x")
	h.SetHost("a.example")
	return &Request{Header: h, Body: []byte(body), MaxIdle: time.Minute}
}

// TestOutcomeByBytesSent checks that Sent is false only if not a single byte was sent,
// wherever the write failed.
func TestOutcomeByBytesSent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		room := rapid.IntRange(0, 20_000).Draw(t, "room")
		body := rapid.IntRange(0, 20_000).Draw(t, "body")
		c := &scriptedConn{answer: bytes.NewReader(nil), writeLimit: room}
		_, err := newTestPool(c).Do(context.Background(), newRequest(string(make([]byte, body))))
		var failure *Error
		if !errors.As(err, &failure) {
			t.Fatalf("%v", err)
		}
		if failure.Sent != (c.wrote > 0) {
			t.Fatalf("sent=%t after %d bytes were written", failure.Sent, c.wrote)
		}
		if !c.closed {
			t.Fatal("a connection with an incomplete request is kept")
		}
	})
}

func TestNothingIsSentAfterTheDeadline(t *testing.T) {
	is := is.New(t)
	c := &scriptedConn{answer: bytes.NewReader(nil), writeLimit: -1}
	pool := newTestPool(c)
	dial := pool.Dial
	pool.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		time.Sleep(30 * time.Millisecond)
		return dial(ctx, address)
	}
	ctx, cancel := context.WithDeadline(neverEnding{}, time.Now().Add(10*time.Millisecond))
	defer cancel()
	_, err := pool.Do(lateContext{ctx}, newRequest(""))
	var failure *Error
	is.True(errors.As(err, &failure))
	is.True(!failure.Sent)
	is.True(errors.Is(err, context.DeadlineExceeded))
	is.Equal(c.wrote, 0)
}

// neverEnding is a context that never ends by itself.
type neverEnding struct{ context.Context }

func (neverEnding) Deadline() (time.Time, bool) { return time.Time{}, false }
func (neverEnding) Done() <-chan struct{}       { return nil }
func (neverEnding) Err() error                  { return nil }
func (neverEnding) Value(any) any               { return nil }

// lateContext is a context that has not noticed its end yet, as in a process that resumes
// after a pause before its timers have run.
type lateContext struct{ context.Context }

func (lateContext) Err() error            { return nil }
func (lateContext) Done() <-chan struct{} { return nil }

// FuzzAnswer checks that, for any received bytes, an answer read to its end has the announced
// length, and that a connection is kept only after such an answer with nothing following it.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhelloHTTP/1.1 200 OK\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\n\r\nto the end"))
	f.Add([]byte("these bytes are no answer\r\n\r\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		c := &scriptedConn{answer: bytes.NewReader(text), writeLimit: -1}
		pool := newTestPool(c)
		answer, err := pool.Do(context.Background(), newRequest(""))
		if err != nil {
			if !c.closed {
				t.Fatal("connection kept after a failure")
			}
			return
		}
		got, err := io.ReadAll(answer.Body)
		_ = answer.Body.Close()
		if err == nil && answer.Length >= 0 && len(got) != answer.Length {
			t.Fatalf("read %d bytes without an error, the announced length is %d", len(got), answer.Length)
		}
		if err != nil && !c.closed {
			t.Fatal("connection kept after a truncated body")
		}
		if !c.closed && (answer.Length < 0 && answer.Header.ContentLength() != -1) {
			t.Fatal("connection kept after an answer that ends when its connection is closed")
		}
	})
}

// TestForgottenConnectionsShortenTheRest checks that once the peer has closed an idle
// connection, a request that may run only once uses no connection that has been idle as long.
func TestForgottenConnectionsShortenTheRest(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	server := &idleClosingServer{idleTimeout: 80 * time.Millisecond}
	go server.serve(l)
	pool := NewPool(l.Addr().String(), 4, func(ctx context.Context, address string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp4", address)
	})
	// The close by the peer is not detected before the next request is sent.
	pool.StillUsable = func(net.Conn) bool { return true }
	pool.Idle = NewIdleLimit(time.Now)
	failed := 0
	for range 6 {
		r := newRequest("")
		r.NonIdempotent = true
		answer, err := pool.Do(context.Background(), r)
		if err != nil {
			failed++
			continue
		}
		_, _ = io.ReadAll(answer.Body)
		time.Sleep(250 * time.Millisecond)
	}
	is.Equal(failed, 1) // the first one that was sent on a closed connection; later ones avoid them
}

func TestIdleLimit(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	l := NewIdleLimit(func() time.Time { return now })
	learnt := 0
	l.OnChange = func(_, _ time.Duration) { learnt++ }
	is.Equal(l.Cap(4*time.Second), 4*time.Second)
	l.ObserveClosed(time.Second)
	is.Equal(l.Cap(4*time.Second), 500*time.Millisecond)
	l.ObserveClosed(3 * time.Second) // does not change the limit
	is.Equal(l.Cap(4*time.Second), 500*time.Millisecond)
	l.ObserveClosed(time.Millisecond)
	is.Equal(l.Cap(4*time.Second), minCap)
	is.Equal(learnt, 2)
	now = now.Add(capTTL)
	is.Equal(l.Cap(4*time.Second), 4*time.Second)
	var none *IdleLimit
	none.ObserveClosed(time.Second)
	is.Equal(none.Cap(time.Second), time.Second)
}

// idleClosingServer is a server that closes idle connections.
type idleClosingServer struct{ idleTimeout time.Duration }

func (s *idleClosingServer) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = c.Close() }()
			buffer := make([]byte, 4096)
			for {
				_ = c.SetReadDeadline(time.Now().Add(s.idleTimeout))
				if n, err := c.Read(buffer); n == 0 || err != nil {
					_ = c.(*net.TCPConn).SetLinger(0)
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			}
		}()
	}
}

// A connection that is closed still delivers what it holds; only one that is reset discards
// it. During a cut of an availability zone, a box sent a request to a server beyond the cut,
// abandoned it at the client's deadline 0.8 s later and closed the connection. The kernel's
// timeout for unacknowledged bytes, 1.5 s, does not apply to a connection that was closed
// before. The kernel sent the request once more 3.4 s after the cut had healed, 8 s after it
// was first sent, and the server, which had left meanwhile, ran it.

// TestExchangeThatIsGivenUpIsReset checks that nothing of an abandoned exchange is delivered
// later.
func TestExchangeThatIsGivenUpIsReset(t *testing.T) {
	for _, c := range []struct {
		name   string
		end    func(cancel context.CancelFunc)
		answer string
	}{
		{"the deadline passes", func(context.CancelFunc) {}, ""},
		{"the client leaves", func(cancel context.CancelFunc) { cancel() }, ""},
		{"the answer breaks off", func(context.CancelFunc) {}, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = l.Close() }()
			p := NewPool(l.Addr().String(), 1, func(ctx context.Context, address string) (net.Conn, error) {
				return (&net.Dialer{}).DialContext(ctx, "tcp4", address)
			})
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				a, err := p.Do(ctx, newRequest("once"))
				if err == nil {
					_, _ = io.ReadAll(a.Body)
				}
			}()
			server, err := l.Accept()
			is.NoErr(err)
			defer func() { _ = server.Close() }()
			_, err = io.WriteString(server, c.answer)
			is.NoErr(err)
			time.Sleep(20 * time.Millisecond)
			c.end(cancel)
			<-ended
			_ = server.SetReadDeadline(time.Now().Add(5 * time.Second))
			_, err = io.Copy(io.Discard, server)
			is.True(errors.Is(err, syscall.ECONNRESET))
		})
	}
}

// failingConn is a connection whose reads fail.
type failingConn struct {
	net.Conn
	err error
}

// Read implements net.Conn.
func (c *failingConn) Read([]byte) (int, error) { return 0, c.err }

// TestErrorOfTheConnectionIsKept checks that a failed exchange tells how its connection failed.
func TestErrorOfTheConnectionIsKept(t *testing.T) {
	is := is.New(t)
	for _, failure := range []error{syscall.ETIMEDOUT, syscall.ECONNRESET, io.ErrUnexpectedEOF, io.EOF} {
		p := NewPool("server", 1, func(context.Context, string) (net.Conn, error) {
			near, far := net.Pipe()
			go func() { _, _ = io.Copy(io.Discard, far) }()
			return &failingConn{Conn: near, err: failure}, nil
		})
		h := &fasthttp.RequestHeader{}
		h.SetMethod("GET")
		_, err := p.Do(t.Context(), &Request{Header: h, MaxIdle: time.Second})
		is.True(errors.Is(err, failure))
		is.Equal(ClosedUnanswered(err), failure == io.EOF || failure == error(syscall.ECONNRESET))
	}
}
