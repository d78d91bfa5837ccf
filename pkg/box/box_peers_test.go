package box

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

// startPeer starts a box that answers one call with what answer writes, and returns its address.
func startPeer(t *testing.T, answer func(c net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		if _, err := c.Read(make([]byte, 4096)); err == nil {
			answer(c)
		}
	}()
	return l.Addr().String()
}

// TestBrokenAnswersOfBoxesAreErrors checks that a call of another box fails whose answer is malformed or
// does not end.
func TestBrokenAnswersOfBoxesAreErrors(t *testing.T) {
	const (
		body      = `{"Box":"dakar-a-2"}`
		maxGrowth = 128 << 20
	)
	whole := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	for name, c := range map[string]struct{ start, more string }{
		"status 000":        {"HTTP/1.1 000 OK\r\n" + whole, ""},
		"unknown version":   {"HTTP/9.9 200 OK\r\n" + whole, ""},
		"blank in a name":   {"HTTP/1.1 200 OK\r\nX Status: 1\r\n" + whole, ""},
		"body without end":  {"HTTP/1.1 200 OK\r\n\r\n{\"Box\":\"", "x"},
		"zeros, compressed": {"HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\n\r\n" + string(compressedZeros()), ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address := startPeer(t, func(conn net.Conn) {
				_, err := io.WriteString(conn, c.start)
				for part := strings.Repeat(c.more, 1<<20); err == nil && c.more != ""; {
					_, err = io.WriteString(conn, part)
				}
			})
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			call := newTestBox(is).newPeerCaller()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			var answer struct{ Box string }
			err := call(ctx, address, "/v1/heartbeat", struct{}{}, &answer)
			runtime.ReadMemStats(&after)
			t.Logf("%v, %d bytes allocated", err, after.TotalAlloc-before.TotalAlloc)
			is.True(err != nil)
			is.Equal(answer.Box, "")
			is.True(after.TotalAlloc-before.TotalAlloc < maxGrowth)
		})
	}
}

// compressedZeros returns 256 MiB of zeros, compressed.
func compressedZeros() []byte {
	body, _ := compress(make([]byte, 256<<20))
	return body
}
