package graceful

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/stoneworks/stoneworks/pkg/heads"
)

const manyLines = 2600

// waitFree waits until no head is counted.
func waitFree(t *testing.T, a *heads.Account) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); a.Held() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes are still counted", a.Held())
		}
	}
}

// TestHeadsWithoutMemoryAreRefusedUnread guards against holding heads of many lines without a bound.
func TestHeadsWithoutMemoryAreRefusedUnread(t *testing.T) {
	is := is.New(t)
	s := serve(t, func(http.ResponseWriter, *http.Request) { t.Error("a refused request was served") })
	s.Heads = &heads.Account{Memory: 1 << 20}
	close(s.mayAccept)
	c := s.dial(t)
	c.send(t, "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a:\r\n", manyLines))
	answer, err := http.ReadResponse(c.reader, nil)
	is.NoErr(err)
	is.Equal(answer.StatusCode, http.StatusServiceUnavailable)
	is.Equal(answer.Header.Get("Retry-After"), "1")
	is.True(answer.Close)
	rest, err := io.ReadAll(c.reader)
	is.NoErr(err)
	is.Equal(len(rest), 0) // net/http adds no answer of its own
	waitFree(t, s.Heads)
	is.Equal(s.unanswered.Load(), int64(0))
}

// TestCountedHeadsAreReleased checks that nothing stays counted, however a request ends.
func TestCountedHeadsAreReleased(t *testing.T) {
	is := is.New(t)
	s := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodConnect {
			noContent(w, r)
			return
		}
		c, _, err := w.(http.Hijacker).Hijack()
		is.NoErr(err)
		defer func() { _ = c.Close() }()
		_, _ = io.Copy(io.Discard, c)
	})
	s.Heads = &heads.Account{Memory: 64 << 20}
	close(s.mayAccept)
	kept, left, hijacked := s.dial(t), s.dial(t), s.dial(t)
	for range 3 {
		kept.send(t, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\na\n\r\n"+request)
		is.Equal(kept.status(t), http.StatusNoContent)
		is.Equal(kept.status(t), http.StatusNoContent)
	}
	waitFree(t, s.Heads)
	left.send(t, "GET / HTTP/1.1\r\n"+strings.Repeat("a:\r\n", manyLines))
	_ = left.Conn.Close()
	hijacked.send(t, "CONNECT h:1 HTTP/1.1\r\nHost: h:1\r\n\r\n")
	waitFree(t, s.Heads)
	hijacked.send(t, strings.Repeat("a:\r\n", manyLines))
	waitFree(t, s.Heads)
}
