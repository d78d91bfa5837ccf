package exchange

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/stoneworks/stoneworks/test/rawserver"
)

// exchangeWith returns the body of an answer that a server sends as these bytes, or the error with which
// the exchange failed.
func exchangeWith(answer string) (body string, err error) {
	c := &scriptedConn{answer: bytes.NewReader([]byte(answer)), writeLimit: -1}
	got, err := newTestPool(c).Do(context.Background(), newRequest(""))
	if err != nil {
		return "", err
	}
	text, err := io.ReadAll(got.Body)
	return string(text), err
}

// TestMalformedHeadsAreNoAnswers checks that an answer whose head does not follow the grammar of HTTP/1.1
// (RFC 9112, sections 4 to 6) fails the exchange, in place of being passed on in part.
func TestMalformedHeadsAreNoAnswers(t *testing.T) {
	const rest = "Content-Length: 11\r\n\r\nhello world"
	for name, answer := range map[string]string{
		"status 000":                      "HTTP/1.1 000 OK\r\n" + rest,
		"status 001":                      "HTTP/1.1 001 OK\r\n" + rest,
		"status 099":                      "HTTP/1.1 099 OK\r\n" + rest,
		"status 600":                      "HTTP/1.1 600 OK\r\n" + rest,
		"status 999":                      "HTTP/1.1 999 OK\r\n" + rest,
		"status of two digits":            "HTTP/1.1 20 OK\r\n" + rest,
		"status of four digits":           "HTTP/1.1 2000 OK\r\n" + rest,
		"signed status":                   "HTTP/1.1 +20 OK\r\n" + rest,
		"no status":                       "HTTP/1.1\r\n" + rest,
		"switch of protocols":             "HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\n" + rest,
		"unknown version":                 "HTTP/9.9 200 OK\r\n" + rest,
		"version without a dot":           "HTTP/11 200 OK\r\n" + rest,
		"lower-case protocol":             "http/1.1 200 OK\r\n" + rest,
		"control byte in the status line": "HTTP/1.1 200 O\x00K\r\n" + rest,
		"empty line before the head":      "\r\nHTTP/1.1 200 OK\r\n" + rest,
		"blank before a colon":            "HTTP/1.1 200 OK\r\nX-Status : 1\r\n" + rest,
		"tab before a colon":              "HTTP/1.1 200 OK\r\nX-Status\t: 1\r\n" + rest,
		"blank before a length's colon":   "HTTP/1.1 200 OK\r\nContent-Length : 5\r\n\r\nhello world",
		"blank in a name":                 "HTTP/1.1 200 OK\r\nX Status: 1\r\n" + rest,
		"control byte in a name":          "HTTP/1.1 200 OK\r\nX-\x01Status: 1\r\n" + rest,
		"zero byte in a name":             "HTTP/1.1 200 OK\r\nX-Status\x00: 1\r\n" + rest,
		"delete byte in a name":           "HTTP/1.1 200 OK\r\nX-\x7fStatus: 1\r\n" + rest,
		"byte above 127 in a name":        "HTTP/1.1 200 OK\r\nX-St\xc3\xa4tus: 1\r\n" + rest,
		"separator in a name":             "HTTP/1.1 200 OK\r\nX-(Status): 1\r\n" + rest,
		"line feeds only":                 "HTTP/1.1 200 OK\nContent-Length: 5\n\nhello",
		"line feed inside a line":         "HTTP/1.1 200 OK\r\nX-Status: 1\nContent-Length: 5\r\n" + rest,
		"chunks and length":               "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"no name":                         "HTTP/1.1 200 OK\r\n: 1\r\n" + rest,
		"no colon":                        "HTTP/1.1 200 OK\r\nX-Status\r\n" + rest,
		"zero byte in a value":            "HTTP/1.1 200 OK\r\nX-Status: 1\x002\r\n" + rest,
		"carriage return in a value":      "HTTP/1.1 200 OK\r\nX-Status: 1\rContent-Length: 5\r\n" + rest,
		"folded first line":               "HTTP/1.1 200 OK\r\n X-Status: 1\r\n" + rest,
		"folded line":                     "HTTP/1.1 200 OK\r\nX-Status: 1\r\n Content-Length: 5\r\n" + rest,
		"two lengths":                     "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n" + rest,
		"signed length":                   "HTTP/1.1 200 OK\r\nContent-Length: +5\r\n\r\nhello world",
		"negative length":                 "HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\nhello world",
		"empty length":                    "HTTP/1.1 200 OK\r\nContent-Length: \r\n\r\nhello world",
		"length with a blank":             "HTTP/1.1 200 OK\r\nContent-Length: 5 6\r\n\r\nhello world",
		"list of lengths":                 "HTTP/1.1 200 OK\r\nContent-Length: 5, 6\r\n\r\nhello world",
		"length out of range":             "HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\nhello world",
		"length and chunks":               "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"unknown coding":                  "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"coding before chunks":            "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"chunked twice":                   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"chunks in HTTP/1.0":              "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"chunks in HTTP/1.2":              "HTTP/1.2 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"coding identity":                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"coding behind chunks":            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, identity\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"coding with a parameter":         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked;a=b\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"empty coding":                    "HTTP/1.1 200 OK\r\nTransfer-Encoding:\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"malformed interim answer":        "HTTP/1.1 103 Early\r\nX Status: 1\r\n\r\nHTTP/1.1 200 OK\r\n" + rest,
		"malformed chunk size":            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\nhello\r\n0\r\n\r\n",
		"blank in a trailer's name":       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX Status: 1\r\n\r\n",
		"trailer without a colon":         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nHTTP/1.1 200 OK\r\n\r\n",
		"no last chunk":                   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			body, err := exchangeWith(answer)
			var failure *Error
			if !errors.As(err, &failure) || !failure.Sent {
				t.Fatalf("the answer counts, with the body %q and the error %v", body, err)
			}
		})
	}
}

// TestBytesThatBeginNoHeadAreRefused checks that the end of such bytes is not waited for.
func TestBytesThatBeginNoHeadAreRefused(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	defer func() { _ = far.Close() }()
	go func() {
		_, _ = far.Read(make([]byte, 1024))
		_, _ = far.Write([]byte("HTTP/x"))
	}()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, err := newTestPool(near).Do(ctx, newRequest(""))
	var malformed *FramingError
	is.True(errors.As(err, &malformed))
}

// unusualHeads are answers with the body "hello" whose heads the grammar allows.
var unusualHeads = map[string]string{
	"no reason":             "HTTP/1.1 200 \r\nContent-Length: 5\r\n\r\nhello",
	"no blank behind it":    "HTTP/1.1 200\r\nContent-Length: 5\r\n\r\nhello",
	"HTTP/1.0":              "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nhello",
	"empty value":           "HTTP/1.1 200 OK\r\nX-Status:\r\nContent-Length: 5\r\n\r\nhello",
	"tab in a value":        "HTTP/1.1 200 OK\r\nX-Status:\t1\t2\r\nContent-Length: 5\r\n\r\nhello",
	"bytes above 127":       "HTTP/1.1 200 \xc3\xa4\r\nX-Status: \xc3\xa4\r\nContent-Length: 5\r\n\r\nhello",
	"all kinds of names":    "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: 1\r\nContent-Length: 5\r\n\r\nhello",
	"coding in capitals":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	"trailer":               "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX-Status: 1\r\n\r\n",
	"interim answers":       "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
	"until the end":         "HTTP/1.1 200 OK\r\n\r\nhello",
	"until the end, 1.0":    "HTTP/1.0 200 OK\r\n\r\nhello",
	"highest status, 599":   "HTTP/1.1 599 Other\r\nContent-Length: 5\r\n\r\nhello",
	"later minor version":   "HTTP/1.2 200 OK\r\nContent-Length: 5\r\n\r\nhello",
	"colons in a value":     "HTTP/1.1 200 OK\r\nX-Status: a: b\r\nContent-Length: 5\r\n\r\nhello",
	"blanks round a value":  "HTTP/1.1 200 OK\r\nContent-Length:   5  \r\n\r\nhello",
	"chunks with extension": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;a=b\r\nhello\r\n0\r\n\r\n",
}

// TestUnusualHeadsAreAnswers checks that heads which the grammar allows are still answers.
func TestUnusualHeadsAreAnswers(t *testing.T) {
	for name, answer := range unusualHeads {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			body, err := exchangeWith(answer)
			is.NoErr(err)
			is.Equal(body, "hello")
		})
	}
}

// TestCutHeadsAreNoAnswers checks that an answer does not count whose connection ends within its head or the
// interim answers before it.
func TestCutHeadsAreNoAnswers(t *testing.T) {
	heads := map[string]string{
		"204": "HTTP/1.1 204 No Content\r\nX-Status: 1\r\n\r\n",
		"304": "HTTP/1.1 304 Not Modified\r\nContent-Length: 1234\r\n\r\n",
	}
	for name, answer := range unusualHeads {
		last := strings.LastIndex(answer, "HTTP/1.")
		heads[name] = answer[:last+strings.Index(answer[last:], "\r\n\r\n")+len("\r\n\r\n")]
	}
	forms := map[string]func(r *Request){
		"GET":              func(r *Request) { r.Header.SetMethod("GET") },
		"HEAD":             func(r *Request) { r.Header.SetMethod("HEAD") },
		"POST":             func(r *Request) { r.Body = []byte("body") },
		"upload":           func(r *Request) { r.Stream, r.Length = strings.NewReader("body"), len("body") },
		"upload in chunks": func(r *Request) { r.Stream, r.Length = strings.NewReader("body"), -1 },
	}
	plays := 0
	for name, head := range heads {
		for cut, answer := range rawserver.Cuts(head) {
			p := NewPool(rawserver.Start(t, answer), 1, func(ctx context.Context, address string) (net.Conn, error) {
				return (&net.Dialer{}).DialContext(ctx, "tcp4", address)
			})
			for form, set := range forms {
				r := newRequest("")
				set(r)
				plays++
				_, err := p.Do(t.Context(), r)
				var failure *Error
				if !errors.As(err, &failure) || !failure.Sent {
					t.Errorf("%s, %s, %s: error %v", form, name, cut, err)
				}
			}
		}
	}
	t.Logf("%d answers", plays)
}
