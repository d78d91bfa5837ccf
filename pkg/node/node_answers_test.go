package node

import (
	"errors"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/stoneworks/stoneworks/pkg/exchange"
)

// serveRaw starts a box that answers each call with these bytes, and returns its address.
func serveRaw(t *testing.T, answer func(c net.Conn)) string {
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
	return l.Addr().String()
}

// TestBrokenListsOfBoxesAreErrors checks that a list of another box fails whose answer is malformed or
// ends early, in place of being taken.
func TestBrokenListsOfBoxesAreErrors(t *testing.T) {
	const list = `{"at":7,"whole":true,"items":[]}`
	for name, answer := range map[string]string{
		"status 000":                    "HTTP/1.1 000 OK\r\n\r\n" + list,
		"blank in a name":               "HTTP/1.1 200 OK\r\nX Status: 1\r\n\r\n" + list,
		"blank before a length's colon": "HTTP/1.1 200 OK\r\nContent-Length : 5\r\n\r\n" + list,
		"cut behind its list":           fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list)+9, list),
		"more behind its list":          "HTTP/1.1 200 OK\r\n\r\n" + list + list,
	} {
		t.Run(name, func(t *testing.T) {
			_, err := pull(t, serveRaw(t, func(c net.Conn) { _, _ = io.WriteString(c, answer) }))
			t.Log(err)
			is.New(t).True(err != nil)
		})
	}
}

// TestListWithoutEndIsRefused checks that a box does not hold a list of another box without end. Blanks
// between two values are no part of one, and do not end a decoder's work either.
func TestListWithoutEndIsRefused(t *testing.T) {
	for name, c := range map[string]struct{ start, more string }{
		"items":  {`{"at":7,"whole":true,"items":[{}`, ",{}"},
		"a text": {`{"at":7,"whole":true,"items":[{"name":"`, "a"},
		"blanks": {`{"at":7,"whole":true,"items":[]}`, " "},
	} {
		t.Run(name, func(t *testing.T) {
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err := pull(t, serveRaw(t, func(conn net.Conn) {
				_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"+c.start)
				for part := strings.Repeat(c.more, 1<<20); err == nil; {
					_, err = io.WriteString(conn, part)
				}
			}))
			runtime.ReadMemStats(&after)
			t.Logf("%v, %d bytes allocated", err, after.TotalAlloc-before.TotalAlloc)
			var tooLong *exchange.TooLongError
			is.New(t).True(errors.As(err, &tooLong))
			is.New(t).True(after.TotalAlloc-before.TotalAlloc < 8*maxHandover)
		})
	}
}
