package pipeline

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// serve serves connections through Conn with a handler, until the test ends.
func serve(t *testing.T, handler http.HandlerFunc) (address string) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	go func() { _ = s.Serve(&wrapping{l}) }()
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

type wrapping struct{ net.Listener }

func (l *wrapping) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return NewConn(c), nil
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// TestMoreThanIsHeldIsServedAll: a client that sends more requests than are held behind the one
// that is served gets an answer to each, in order.
func TestMoreThanIsHeldIsServedAll(t *testing.T) {
	is := is.New(t)
	address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(time.Millisecond)
		_, _ = io.WriteString(w, r.URL.Path)
	})
	c := dial(t, address)
	const requests = 1000
	request := "GET /a HTTP/1.1\r\nHost: h\r\n" + "X: " + strings.Repeat("x", 40) + "\r\n\r\n"
	is.True(requests*len(request) > 4*mostPending)
	go func() { _, _ = io.WriteString(c, strings.Repeat(request, requests)) }()
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
	got := 0
	buffer := make([]byte, 64<<10)
	text := ""
	for got < requests {
		n, err := c.Read(buffer)
		is.NoErr(err)
		text += string(buffer[:n])
		got += strings.Count(text, "\r\n\r\n/a")
		if i := strings.LastIndex(text, "\r\n\r\n/a"); i >= 0 {
			text = text[i+6:]
		}
	}
	is.Equal(got, requests)
}

// TestEarlyAnswerIsNotLostToAReset: an answer that is sent while the client still sends its body
// reaches it.
func TestEarlyAnswerIsNotLostToAReset(t *testing.T) {
	is := is.New(t)
	address := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "too large", http.StatusRequestEntityTooLarge)
	})
	c := dial(t, address)
	_, err := io.WriteString(c, "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n"+strings.Repeat("x", 500000))
	is.NoErr(err)
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	answer, err := io.ReadAll(c)
	is.NoErr(err)
	is.True(strings.HasPrefix(string(answer), "HTTP/1.1 413"))
}
