package exchange

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/stoneworks/stoneworks/test/rawserver"
)

// endless are answers that begin with one text and go on with another one until the connection ends.
var endless = map[string]struct{ start, more string }{
	"status line":                     {"HTTP/1.1 200 ", "OK"},
	"field name":                      {"HTTP/1.1 200 OK\r\n", "X"},
	"field value":                     {"HTTP/1.1 200 OK\r\nX-Status: ", "1"},
	"fields":                          {"HTTP/1.1 200 OK\r\n", "X-Status: 1\r\n"},
	"empty lines":                     {"", "\r\n"},
	"bytes that are no answer":        {"", "no answer "},
	"interim answers":                 {"", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
	"chunk size":                      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
	"chunk extension":                 {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;", "a"},
	"trailer line":                    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX-Status: ", "1"},
	"trailer lines":                   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n", "X-Status: 1\r\n"},
	"answers to other requests":       {"", "HTTP/1.1 200 OK\r\nX-Other: 1\r\nContent-Length: 5\r\n\r\nhello"},
	"body for another request":        {"HTTP/1.1 200 OK\r\nX-Other: 1\r\nContent-Length: 4611686018427387904\r\n\r\n", "hello"},
	"chunks for another request":      {"HTTP/1.1 200 OK\r\nX-Other: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\nhello\r\n"},
	"trailer line of another request": {"HTTP/1.1 200 OK\r\nX-Other: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Status: ", "1"},
	"body":                            {"HTTP/1.1 200 OK\r\n\r\n", "hello"},
	"chunks":                          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\nhello\r\n"},
}

// TestBytesWithoutEndAreRefused checks that an exchange whose answer does not end fails long before its
// deadline, and that the process does not grow.
func TestBytesWithoutEndAreRefused(t *testing.T) {
	const (
		deadline    = 1500 * time.Millisecond
		maxDuration = 500 * time.Millisecond
		maxGrowth   = 32 << 20
		maxBody     = 1 << 20
	)
	for name, answer := range endless {
		t.Run(name, func(t *testing.T) {
			p := NewPool(rawserver.Start(t, rawserver.Endless(answer.start, answer.more)), 1, func(ctx context.Context, address string) (net.Conn, error) {
				return (&net.Dialer{}).DialContext(ctx, "tcp4", address)
			})
			defer p.Close()
			ctx, cancel := context.WithTimeout(t.Context(), deadline)
			defer cancel()
			r := newRequest("")
			r.Match = func(h *fasthttp.ResponseHeader) bool { return len(h.Peek("X-Other")) == 0 }
			var err error
			begun := time.Now()
			grown := rawserver.Allocated(func() {
				var a *Answer
				if a, err = p.Do(ctx, r); err == nil {
					_, err = a.ReadAll(maxBody)
				}
			})
			took := time.Since(begun)
			t.Logf("%v after %v, %d bytes allocated", err, took, grown)
			is := is.New(t)
			var failure *Error
			is.True(errors.As(err, &failure))
			is.True(failure.Sent)
			is.True(took < maxDuration)
			is.True(grown < maxGrowth)
		})
	}
}
