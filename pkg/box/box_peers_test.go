package box

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/stoneworks/stoneworks/test/rawserver"
)

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
			answer := rawserver.Text(c.start)
			if c.more != "" {
				answer = rawserver.Endless(c.start, c.more)
			}
			address := rawserver.Start(t, answer)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			call := newTestBox(is).newPeerCaller()
			var out struct{ Box string }
			var err error
			grown := rawserver.Allocated(func() { err = call(ctx, address, "/v1/heartbeat", struct{}{}, &out) })
			t.Logf("%v, %d bytes allocated", err, grown)
			is.True(err != nil)
			is.Equal(out.Box, "")
			is.True(grown < maxGrowth)
		})
	}
}

// TestCutAnswersOfBoxesAreErrors checks the same for answers that are cut anywhere.
func TestCutAnswersOfBoxesAreErrors(t *testing.T) {
	call := newTestBox(is.New(t)).newPeerCaller()
	for name, answer := range rawserver.Cuts("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n" + `{"Box":"dakar-a-2"} `) {
		var out struct{ Box string }
		if call(t.Context(), rawserver.Start(t, answer), "/v1/heartbeat", struct{}{}, &out) == nil {
			t.Error(name)
		}
	}
}

// compressedZeros returns 256 MiB of zeros, compressed.
func compressedZeros() []byte {
	body, _ := compress(make([]byte, 256<<20))
	return body
}
