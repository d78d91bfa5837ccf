package graceful

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
)

const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// served is a server whose connections are tracked.
type served struct {
	*Connections
	listener   *Listener
	server     *http.Server
	unanswered atomic.Int64
	// mayAccept is closed once the server accepts connections.
	mayAccept chan struct{}
}

// Accept implements net.Listener.
func (s *served) Accept() (net.Conn, error) {
	<-s.mayAccept
	c, err := s.listener.Accept()
	if err != nil {
		return nil, err
	}
	return s.Wrap(c), nil
}

// Close implements net.Listener.
func (s *served) Close() error { return s.listener.Close() }

// Addr implements net.Listener.
func (s *served) Addr() net.Addr { return s.listener.Addr() }

func serve(t *testing.T, handler http.HandlerFunc) *served {
	t.Helper()
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &served{Connections: New(), listener: l, mayAccept: make(chan struct{})}
	s.OnUnanswered = func(Unanswered) { s.unanswered.Add(1) }
	s.server = &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	s.Attach(s.server)
	var serving conc.WaitGroup
	serving.Go(func() { _ = s.server.Serve(s) })
	t.Cleanup(func() {
		_ = s.server.Close()
		serving.Wait()
	})
	return s
}

// closeAll closes all connections within 2 s.
func (s *served) closeAll() {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	s.Connections.Close(ctx)
}

// client is a connection whose answers are read one after the other.
type client struct {
	net.Conn
	reader *bufio.Reader
}

func (s *served) dial(t *testing.T) *client {
	t.Helper()
	c, err := net.Dial("tcp4", s.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	return &client{c, bufio.NewReader(c)}
}

// send sends a request or a part of it.
func (c *client) send(t *testing.T, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// status reads one answer and returns its status.
func (c *client) status(t *testing.T) int {
	t.Helper()
	answer, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		t.Fatal(err)
	}
	return answer.StatusCode
}

func noContent(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }

// TestClosedListenerLeavesNoConnectionInItsQueue guards against resetting connections on which
// clients have sent requests and which the server has not accepted yet.
func TestClosedListenerLeavesNoConnectionInItsQueue(t *testing.T) {
	is := is.New(t)
	s := serve(t, noContent)
	var clients []*client
	for range 20 {
		c := s.dial(t)
		c.send(t, request)
		clients = append(clients, c)
	}
	time.AfterFunc(20*time.Millisecond, func() { close(s.mayAccept) })
	is.NoErr(s.listener.CloseInOrder())
	for _, c := range clients {
		is.Equal(c.status(t), http.StatusNoContent)
	}
	_, err := net.Dial("tcp4", s.listener.Addr().String())
	is.True(err != nil)
}

// TestCloseWaitsForRequestsThatHaveBegun checks that a request whose bytes arrive slowly, and one
// that follows another without a pause, are answered by the handler.
func TestCloseWaitsForRequestsThatHaveBegun(t *testing.T) {
	is := is.New(t)
	s := serve(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(50 * time.Millisecond)
		noContent(w, r)
	})
	close(s.mayAccept)
	slow, pipelined := s.dial(t), s.dial(t)
	slow.send(t, request[:10])
	pipelined.send(t, request+request)
	time.Sleep(20 * time.Millisecond)
	var closing conc.WaitGroup
	closing.Go(s.closeAll)
	time.Sleep(100 * time.Millisecond)
	slow.send(t, request[10:])
	is.Equal(slow.status(t), http.StatusNoContent)
	is.Equal(pipelined.status(t), http.StatusNoContent)
	is.Equal(pipelined.status(t), http.StatusNoContent)
	is.Equal(slow.status(t), http.StatusRequestTimeout)
	is.Equal(pipelined.status(t), http.StatusRequestTimeout)
	_ = slow.Conn.Close()
	_ = pipelined.Conn.Close()
	closing.Wait()
	is.Equal(s.Len(), 0)
	is.Equal(s.unanswered.Load(), int64(0))
}

// TestCloseEndsWithItsContext checks that a client that neither sends a request nor leaves does not
// hold up the end.
func TestCloseEndsWithItsContext(t *testing.T) {
	is := is.New(t)
	s := serve(t, noContent)
	close(s.mayAccept)
	c := s.dial(t)
	is.NoErr(s.listener.CloseInOrder())
	time.Sleep(10 * time.Millisecond)
	start := time.Now()
	s.closeAll()
	is.True(time.Since(start) < 2*time.Second)
	is.Equal(c.status(t), http.StatusRequestTimeout)
}

// TestConnectionsClosedUnansweredAreReported checks that a request without an answer is reported,
// and one whose client has left is not.
func TestConnectionsClosedUnansweredAreReported(t *testing.T) {
	is := is.New(t)
	s := serve(t, func(http.ResponseWriter, *http.Request) {
		time.Sleep(50 * time.Millisecond)
		panic(http.ErrAbortHandler)
	})
	close(s.mayAccept)
	dropped, left := s.dial(t), s.dial(t)
	dropped.send(t, request)
	left.send(t, request)
	time.Sleep(20 * time.Millisecond)
	_ = left.Conn.Close()
	_, err := dropped.reader.ReadByte()
	is.Equal(err, io.EOF)
	is.Equal(s.unanswered.Load(), int64(1))
}

// TestClosingAnswerIsNotDiscardedByAReset guards against closing a connection while its client sends a
// request that crosses the closing answer, which would reset the connection.
func TestClosingAnswerIsNotDiscardedByAReset(t *testing.T) {
	is := is.New(t)
	s := serve(t, noContent)
	close(s.mayAccept)
	c := s.dial(t)
	c.send(t, request)
	is.Equal(c.status(t), http.StatusNoContent)
	var closing conc.WaitGroup
	closing.Go(s.closeAll)
	defer closing.Wait()
	for range 4 {
		time.Sleep(50 * time.Millisecond)
		c.send(t, request)
	}
	is.Equal(c.status(t), http.StatusRequestTimeout)
	_ = c.Conn.Close()
}

// TestResetOnCloseLeavesNoOrderlyEnd checks that a client does not see the end of a connection that is to
// end with a reset, also where its request has not been read whole.
func TestResetOnCloseLeavesNoOrderlyEnd(t *testing.T) {
	for _, isReset := range []bool{true, false} {
		is := is.New(t)
		s := serve(t, func(w http.ResponseWriter, r *http.Request) {
			ResetOnClose(r.Context(), true)
			EndAfterAnswer(r.Context())
			_, _ = io.WriteString(w, "part")
			_ = http.NewResponseController(w).Flush()
			ResetOnClose(r.Context(), isReset)
			panic(http.ErrAbortHandler)
		})
		close(s.mayAccept)
		c := s.dial(t)
		c.send(t, "GET / HTTP/1.0\r\n\r\n")
		text, err := io.ReadAll(c.reader)
		is.Equal(errors.Is(err, syscall.ECONNRESET), isReset)
		is.Equal(err == nil, !isReset)
		is.True(isReset || strings.HasSuffix(string(text), "part"))
	}
}

// TestClosedListenerHandsItsQueueOver guards against ending, as if no connection were open, before the
// owner has got the connections that were in the listener's queue.
func TestClosedListenerHandsItsQueueOver(t *testing.T) {
	is := is.New(t)
	s := serve(t, noContent)
	var clients []*client
	for range 20 {
		clients = append(clients, s.dial(t))
	}
	time.AfterFunc(20*time.Millisecond, func() { close(s.mayAccept) })
	is.NoErr(s.listener.CloseInOrder())
	is.Equal(s.Len(), len(clients))
}
