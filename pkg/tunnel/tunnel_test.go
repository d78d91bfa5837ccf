package tunnel

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/stoneworks/stoneworks/pkg/exchange"
	"github.com/stoneworks/stoneworks/test/rawserver"
)

// startBox starts a box that passes connections on, and returns its address.
func startBox(t *testing.T, s *Server) string {
	t.Helper()
	s.Prepare, s.Count = func(net.Conn) {}, func(string) {}
	if s.Accepts == nil {
		s.Accepts = func(_, _ string) bool { return true }
	}
	if s.LinksWork == nil {
		s.LinksWork = func(context.Context, string) bool { return true }
	}
	if s.Dial == nil {
		s.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp4", address)
		}
	}
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// startServer starts a server that handles one connection, and returns its address.
func startServer(t *testing.T, handle func(c *net.TCPConn)) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		if c, err := l.Accept(); err == nil {
			handle(c.(*net.TCPConn))
		}
	}()
	return l.Addr().String()
}

// open opens a tunnel, and fails the test if that fails.
func open(t *testing.T, box, address string) *Conn {
	t.Helper()
	conn, err := net.Dial("tcp4", box)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	c, err := Open(t.Context(), conn, "box", "server", address)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// awaitRequest waits for the first byte of a request: a server does not speak before it is asked.
func awaitRequest(c net.Conn) { _, _ = c.Read(make([]byte, 1)) }

// TestBytesPassUnaltered checks both directions with more bytes than a buffer holds.
func TestBytesPassUnaltered(t *testing.T) {
	is := is.New(t)
	sent := bytes.Repeat([]byte("0123456789abcdef"), 10_000)
	box := &Server{}
	c := open(t, startBox(t, box), startServer(t, func(c *net.TCPConn) {
		_, _ = io.CopyN(c, c, int64(len(sent)))
		_ = c.Close()
	}))
	is.Equal(box.Open(), 1)
	go func() { _, _ = c.Write(sent) }()
	got, err := io.ReadAll(c)
	is.NoErr(err)
	is.True(bytes.Equal(got, sent))
	_ = c.Close()
	for end := time.Now().Add(time.Second); box.Open() > 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
	is.Equal(box.Open(), 0)
}

// TestAnswerThatBrokeOffIsIncomplete checks that only the orderly end of the server's connection
// looks like one: not its reset, nor the loss of the box between.
func TestAnswerThatBrokeOffIsIncomplete(t *testing.T) {
	is := is.New(t)
	c := open(t, startBox(t, &Server{}), startServer(t, func(c *net.TCPConn) {
		awaitRequest(c)
		_, _ = c.Write([]byte("half"))
		time.Sleep(20 * time.Millisecond)
		_ = c.SetLinger(0)
		_ = c.Close()
	}))
	_, _ = c.Write([]byte("request"))
	_, err := io.ReadAll(c)
	is.True(err != nil)

	var toServer net.Conn
	address := startServer(t, func(c *net.TCPConn) {
		awaitRequest(c)
		_, _ = c.Write([]byte("half"))
	})
	var fromBox net.Conn
	box := startBox(t, &Server{Dial: func(ctx context.Context, address string) (net.Conn, error) {
		var err error
		toServer, err = (&net.Dialer{}).DialContext(ctx, "tcp4", address)
		return toServer, err
	}})
	lost := open(t, box, address)
	fromBox = lost.Conn
	_, _ = lost.Write([]byte("request"))
	half := make([]byte, 4)
	_, err = io.ReadFull(lost, half)
	is.NoErr(err)
	_ = fromBox.(*net.TCPConn).CloseRead() // the kernel closes a killed box's connection orderly
	_, err = lost.Read(half)
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
	is.True(toServer != nil)
}

// TestResetDuringAnUploadIsNoEnd checks that an answer is incomplete if the server's connection is reset
// while bytes are sent to it. The kernel reports the reset to the sender or to the reader of the answer,
// so many runs are needed.
func TestResetDuringAnUploadIsNoEnd(t *testing.T) {
	complete := 0
	for range 150 {
		c := open(t, startBox(t, &Server{}), startServer(t, func(c *net.TCPConn) {
			awaitRequest(c)
			_, _ = c.Write([]byte("part"))
			time.Sleep(time.Millisecond)
			_ = c.SetLinger(0)
			_ = c.Close()
		}))
		go func() { _, _ = c.Write(make([]byte, 4<<20)) }()
		if _, err := io.ReadAll(c); err == nil {
			complete++
		}
		_ = c.Close()
	}
	is.New(t).Equal(complete, 0)
}

// exchangeOver sends a request over a tunnel and returns the body of its answer.
func exchangeOver(t *testing.T, box, address string) (string, error) {
	t.Helper()
	p := exchange.NewPool(address, 1, func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp4", box)
		if err != nil {
			return nil, err
		}
		return Open(ctx, conn, "box", "server", address)
	})
	defer p.Close()
	r := &exchange.Request{Header: &fasthttp.RequestHeader{}, Body: []byte("body")}
	r.Header.SetMethod("POST")
	a, err := p.Do(t.Context(), r)
	if err != nil {
		return "", err
	}
	body, err := a.ReadAll(1 << 10)
	return string(body), err
}

// TestCutAnswersDoNotPassTunnels checks that an answer does not count if the server's connection ends within
// its head, or that to the box between anywhere in front of the last frame.
func TestCutAnswersDoNotPassTunnels(t *testing.T) {
	const head = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nX-Status: 1\r\n\r\n"
	box := startBox(t, &Server{})
	for name, answer := range rawserver.Cuts(head) {
		if body, err := exchangeOver(t, box, rawserver.Start(t, answer)); err == nil {
			t.Errorf("server %s: %q", name, body)
		}
	}
	frames := string([]byte{0, byte(len(head))}) + head + "\x00\x05hello\x00\x00"
	serve := func(answer func(c net.Conn)) (string, error) {
		return exchangeOver(t, rawserver.Start(t, func(c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n")
			_, _ = c.Read(make([]byte, 1024))
			answer(c)
		}), "127.0.0.1:1")
	}
	for name, answer := range rawserver.Cuts(frames) {
		if body, err := serve(answer); err == nil {
			t.Errorf("box %s: %q", name, body)
		}
	}
	body, err := serve(rawserver.Text(frames))
	is.New(t).NoErr(err)
	is.New(t).Equal(body, "hello")
}

// TestCutAnswersOpenNoTunnel checks that an answer to CONNECT whose head is cut opens none.
func TestCutAnswersOpenNoTunnel(t *testing.T) {
	for name, answer := range rawserver.Cuts("HTTP/1.1 200 OK\r\nX-Status: 1\r\n\r\n") {
		conn, err := net.Dial("tcp4", rawserver.Start(t, answer))
		is.New(t).NoErr(err)
		if _, err := Open(t.Context(), conn, "box", "server", "127.0.0.1:1"); err == nil {
			t.Error(name)
		}
		_ = conn.Close()
	}
}

// TestAnswerWithoutEndOpensNoTunnel checks that the head of an answer to CONNECT is not read without end.
func TestAnswerWithoutEndOpensNoTunnel(t *testing.T) {
	for name, start := range map[string]string{"status line": "HTTP/1.1 200 ", "field": "HTTP/1.1 200 OK\r\nX: ", "fields": ""} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			conn, err := net.Dial("tcp4", rawserver.Start(t, rawserver.Endless(start, "X")))
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			grown := rawserver.Allocated(func() { _, err = Open(ctx, conn, "box", "server", "127.0.0.1:1") })
			is.True(err != nil)
			is.NoErr(ctx.Err())
			is.True(grown < 16<<20)
		})
	}
}

// TestEndOfTheClientReachesTheServer checks that a server learns that nobody waits any more.
func TestEndOfTheClientReachesTheServer(t *testing.T) {
	is := is.New(t)
	ended := make(chan error, 1)
	c := open(t, startBox(t, &Server{}), startServer(t, func(c *net.TCPConn) {
		_, err := io.ReadAll(c)
		ended <- err
	}))
	_ = c.SetLinger(0)
	_ = c.Close()
	select {
	case err := <-ended:
		is.True(errors.Is(err, syscall.ECONNRESET))
	case <-time.After(time.Second):
		t.Fatal("the server does not know")
	}
}

// TestRefusalsAreToldApart checks what a box answers that opens no tunnel.
func TestRefusalsAreToldApart(t *testing.T) {
	is := is.New(t)
	dial := func(err error) func(context.Context, string) (net.Conn, error) {
		return func(context.Context, string) (net.Conn, error) { return nil, err }
	}
	for status, s := range map[int]*Server{
		StatusUnavailable:   {Accepts: func(_, _ string) bool { return false }},
		StatusServerRefused: {Dial: dial(syscall.ECONNREFUSED)},
		StatusServerSilent:  {Dial: dial(context.DeadlineExceeded)},
	} {
		conn, err := net.Dial("tcp4", startBox(t, s))
		is.NoErr(err)
		_, err = Open(t.Context(), conn, "box", "server", "127.0.0.1:1")
		var refused *StatusError
		is.True(errors.As(err, &refused))
		is.Equal(refused.Status, status)
		_ = conn.Close()
	}
	cutOff := &Server{Dial: dial(syscall.ECONNREFUSED), LinksWork: func(context.Context, string) bool { return false }}
	conn, err := net.Dial("tcp4", startBox(t, cutOff))
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = Open(t.Context(), conn, "box", "server", "127.0.0.1:1")
	var refused *StatusError
	is.True(errors.As(err, &refused))
	is.Equal(refused.Status, http.StatusServiceUnavailable)
}
