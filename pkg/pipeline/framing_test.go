package pipeline

import (
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const (
	get  = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
	post = "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nGET /"
)

// split returns the requests of a stream that arrives in pieces of the given sizes.
func split(stream string, size func() int) []string {
	f := &framing{}
	var requests []string
	request := ""
	for rest := stream; rest != ""; {
		piece := rest[:min(len(rest), size())]
		n := f.advance([]byte(piece))
		request += piece[:n]
		rest = rest[n:]
		if f.betweenRequests() {
			requests = append(requests, request)
			request = ""
		}
	}
	if request != "" {
		requests = append(requests, request)
	}
	return requests
}

// TestRequestsAreSplitAtTheirEnds checks that a request ends where the next one begins, wherever
// packets end.
func TestRequestsAreSplitAtTheirEnds(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(1, 1))
	sent := []string{get, post, get, get, post}
	for range 500 {
		got := split(strings.Join(sent, ""), func() int { return 1 + r.IntN(40) })
		is.Equal(got, sent)
	}
}

// TestAmbiguousFramingIsNotParsed checks that nothing after a request with ambiguous framing is
// taken for another request.
func TestAmbiguousFramingIsNotParsed(t *testing.T) {
	for _, ambiguous := range []string{
		"POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"POST /b HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
		"POST /b HTTP/1.1\r\nContent-Length: +1\r\n\r\n",
		"POST /b HTTP/1.1\r\nContent-Length : 1\r\n\r\n",
		"GET /b HTTP/1.1\nHost: h\r\n\r\n",
		"GET /b HTTP/1.1\r\nHost: h\n\r\n\r\n",
		"GET /b HTTP/1.1\r\nA: b\r\n folded\r\n\r\n",
		"GET /b HTTP/1.1\r\nUpgrade: x\r\n\r\n",
		"\r\n\r\n",
		strings.Repeat("x", maxHeader+1),
	} {
		f := &framing{}
		data := []byte(ambiguous + get + get)
		is.New(t).Equal(f.advance(data), len(data))
		is.New(t).Equal(f.betweenRequests(), false)
	}
}

// TestHeadsAreNotKeptAfterTheirEnd guards against idle connections that hold copies of heads.
func TestHeadsAreNotKeptAfterTheirEnd(t *testing.T) {
	is := is.New(t)
	f := &framing{}
	head := "GET /a HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 3000)
	f.advance([]byte(head))
	f.advance([]byte("\r\n"))
	is.True(f.betweenRequests())
	is.Equal(cap(f.head), 0)
	f.advance([]byte(strings.Repeat("x", maxHeader)))
	f.advance([]byte("x"))
	is.True(f.opaque)
	is.Equal(cap(f.head), 0)
}
