package platform

import (
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// startPlatform starts a platform that answers each call with what answer writes, and returns a client
// of it.
func startPlatform(t *testing.T, answer func(c net.Conn)) *Client {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				if _, err := c.Read(make([]byte, 4096)); err == nil {
					answer(c)
				}
			}()
		}
	}()
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp4", address)
	}
	return NewHTTP(l.Addr().String(), time.Second, dial, func(string) {})
}

// TestBrokenAnswersAreErrors checks that a malformed answer is neither a list nor a write that was done.
func TestBrokenAnswersAreErrors(t *testing.T) {
	const body = `{"version":7,"objects":[]}`
	for name, start := range map[string]string{
		"status 000":      "HTTP/1.1 000 OK\r\n",
		"unknown version": "HTTP/9.9 200 OK\r\n",
		"blank in a name": "HTTP/1.1 200 OK\r\nX Status: 1\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := startPlatform(t, func(c net.Conn) {
				_, _ = fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", start, len(body), body)
			})
			_, err := p.List(t.Context(), "services")
			is.True(err != nil)
			_, err = p.Put(t.Context(), Object{Kind: "services", Name: "shop", Value: []byte("{}")})
			is.True(err != nil)
		})
	}
}

// TestAnswersWithoutEndAreErrors checks that an answer is not read without end.
func TestAnswersWithoutEndAreErrors(t *testing.T) {
	const maxGrowth = 128 << 20
	for name, c := range map[string]struct{ start, more string }{
		"body":         {"HTTP/1.1 200 OK\r\n\r\n[", "1,"},
		"trailer line": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n1\r\n0\r\nX: ", "1"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := startPlatform(t, func(conn net.Conn) {
				_, err := io.WriteString(conn, c.start)
				for part := strings.Repeat(c.more, 1<<16); err == nil; {
					_, err = io.WriteString(conn, part)
				}
			})
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err := p.List(t.Context(), "services")
			runtime.ReadMemStats(&after)
			t.Logf("%v, %d bytes allocated", err, after.TotalAlloc-before.TotalAlloc)
			is.True(err != nil)
			is.True(after.TotalAlloc-before.TotalAlloc < maxGrowth)
		})
	}
}

// TestDeepObjectsDoNotHideOthers checks that objects are read beside one that is nested deeper than
// package encoding/json reads.
func TestDeepObjectsDoNotHideOthers(t *testing.T) {
	is := is.New(t)
	deep := strings.Repeat("[", 15_000) + strings.Repeat("]", 15_000)
	p := startPlatform(t, func(c net.Conn) {
		_, _ = io.WriteString(c, `HTTP/1.1 200 OK`+"\r\n\r\n"+`{"version":7,"objects":[{"name":"a","value":`+deep+`},{"name":"b","value":{}}]}`)
	})
	page, err := p.List(t.Context(), "services")
	is.NoErr(err)
	is.Equal(len(page.Objects), 2)
	is.Equal(string(page.Objects[1].Value), "{}")
}
