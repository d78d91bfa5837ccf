package platform

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/stoneworks/stoneworks/test/rawserver"
)

// startPlatform starts a platform that answers each call with what answer writes, and returns a client
// of it.
func startPlatform(t *testing.T, answer func(c net.Conn)) *Client {
	t.Helper()
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp4", address)
	}
	return NewHTTP(rawserver.Start(t, answer), time.Second, dial, func(string) {})
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
			p := startPlatform(t, rawserver.Text(fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", start, len(body), body)))
			_, err := p.List(t.Context(), "services")
			is.True(err != nil)
			_, err = p.Put(t.Context(), Object{Kind: "services", Name: "shop", Value: []byte("{}")})
			is.True(err != nil)
		})
	}
}

// TestCutAnswersAreErrors checks the same for answers that are cut anywhere.
func TestCutAnswersAreErrors(t *testing.T) {
	for name, answer := range rawserver.Cuts("HTTP/1.1 200 OK\r\nContent-Length: 26\r\n\r\n" + `{"version":7,"objects":[]}`) {
		p := startPlatform(t, answer)
		if _, err := p.List(t.Context(), "services"); err == nil {
			t.Error("list", name)
		}
		if _, err := p.Put(t.Context(), Object{Kind: "services", Name: "shop", Value: []byte("{}")}); err == nil {
			t.Error("write", name)
		}
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
			p := startPlatform(t, rawserver.Endless(c.start, c.more))
			var err error
			grown := rawserver.Allocated(func() { _, err = p.List(t.Context(), "services") })
			t.Logf("%v, %d bytes allocated", err, grown)
			is.True(err != nil)
			is.True(grown < maxGrowth)
		})
	}
}

// TestDeepObjectsDoNotHideOthers checks that objects are read beside one that is nested deeper than
// package encoding/json reads.
func TestDeepObjectsDoNotHideOthers(t *testing.T) {
	is := is.New(t)
	deep := strings.Repeat("[", 15_000) + strings.Repeat("]", 15_000)
	p := startPlatform(t, rawserver.Text("HTTP/1.1 200 OK\r\n\r\n"+`{"version":7,"objects":[{"name":"a","value":`+deep+`},{"name":"b","value":{}}]}`))
	page, err := p.List(t.Context(), "services")
	is.NoErr(err)
	is.Equal(len(page.Objects), 2)
	is.Equal(string(page.Objects[1].Value), "{}")
}
