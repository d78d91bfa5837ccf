package machines

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"

	"github.com/stoneworks/stoneworks/test/rawserver"
)

// brokenSignature is the signature of raw answers.
const brokenSignature = "broken"

// rawAnswer returns a signed answer of a server's with a status line and further header lines, each with
// its CRLF. Its body ends with the connection if no line says otherwise.
func rawAnswer(statusLine, extra string) func(id string) string {
	return func(id string) string {
		return fmt.Sprintf("%s\r\nX-Stoneworks-Request-Id: %s\r\nX-Stoneworks-Response-Signature: %s\r\n%s\r\n%s", statusLine, id, brokenSignature, extra, AnswerBody(id))
	}
}

// brokenHeads are answers whose heads do not follow the grammar of HTTP/1.1.
var brokenHeads = map[string]func(id string) string{
	"status 000":                    rawAnswer("HTTP/1.1 000 OK", ""),
	"status 099":                    rawAnswer("HTTP/1.1 099 OK", ""),
	"status 999":                    rawAnswer("HTTP/1.1 999 OK", ""),
	"unknown version":               rawAnswer("HTTP/9.9 200 OK", ""),
	"blank in a name":               rawAnswer("HTTP/1.1 200 OK", "X Status: 1\r\n"),
	"blank before a colon":          rawAnswer("HTTP/1.1 200 OK", "X-Status : 1\r\n"),
	"control byte in a name":        rawAnswer("HTTP/1.1 200 OK", "X-\x01Status: 1\r\n"),
	"blank before a length's colon": rawAnswer("HTTP/1.1 200 OK", "Content-Length : 5\r\n"),
	"folded line":                   rawAnswer("HTTP/1.1 200 OK", "X-Status: 1\r\n Content-Length: 5\r\n"),
	"length and chunks":             rawAnswer("HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n"),
}

// answerRaw makes a server answer requests to the route buy with those bytes.
func answerRaw(s *Server, answer func(id string) string) {
	s.RawAnswer = answer
	s.SetFault(func(r *Run) Fault {
		if strings.HasPrefix(r.Target, buy.Prefix) {
			return Raw
		}
		return NoFault
	})
}

// checkRefusal checks that a client got an answer of the box's own in place of a broken one.
func checkRefusal(t *testing.T, a *Answer) {
	t.Helper()
	is := is.New(t)
	t.Logf("status %d, error %v, body %.40q", a.Status, a.Problem, a.Body)
	is.NoErr(a.Problem)
	is.Equal(a.Status, 502)
	is.Equal(a.Header.Get("X-Stoneworks-Response-Signature"), "")
	is.Equal(strings.TrimSpace(a.Body), "answer_malformed")
}

// TestBrokenHeadsDoNotReachClients checks that a client gets no part of an answer whose head is
// malformed.
func TestBrokenHeadsDoNotReachClients(t *testing.T) {
	for name, answer := range brokenHeads {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 1, "east-a.1")
			answerRaw(f.Servers["east-a.1"], answer)
			c := &Client{Address: f.Boxes[0].Clients}
			defer c.Close()
			checkRefusal(t, c.Do("POST", "/buy/1", "broken", "body", ""))
		})
	}
}

// TestBrokenHeadsDoNotPassRelays checks the same for answers that another box passes on.
func TestBrokenHeadsDoNotPassRelays(t *testing.T) {
	for name, answer := range brokenHeads {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 2, "east-a.1", "east-a.2")
			for _, s := range f.Servers {
				answerRaw(s, answer)
			}
			f.Boxes[0].CutFromServers(ResetAll, nil)
			c := &Client{Address: f.Boxes[0].Clients}
			defer c.Close()
			eventually(t, "the other box passes requests on", func() bool {
				return c.Do("GET", "/read/1", "relayed", "", "").Status == 200
			})
			checkRefusal(t, c.Do("POST", "/buy/1", "broken", "body", ""))
		})
	}
}

// TestCutHeadsDoNotReachClients checks that a client gets no part of an answer whose connection ends within
// its head, directly and through another box.
func TestCutHeadsDoNotReachClients(t *testing.T) {
	requests := []struct{ method, target, body, extra string }{
		{"GET", "/buy/1", "", ""},
		{"POST", "/buy/1", "body", ""},
		{"PUT", "/up/1", "body", ""},
		{"PUT", "/up/1", "4\r\nbody\r\n0\r\n\r\n", "Transfer-Encoding: chunked\r\n"},
	}
	whole := rawAnswer("HTTP/1.1 200 OK", "Content-Length: 1234\r\n")
	headLength := strings.Index(whole("cut"), "\r\n\r\n") + len("\r\n\r\n")
	for _, relayed := range []bool{false, true} {
		t.Run(fmt.Sprint("relayed ", relayed), func(t *testing.T) {
			f := newFleet(t, 2, "east-a.1", "east-a.2")
			var length, cuts atomic.Int64
			for _, s := range f.Servers {
				s.RawAnswer = func(id string) string {
					cuts.Add(1)
					return whole(id)[:length.Load()]
				}
				s.SetFault(func(r *Run) Fault {
					if strings.HasPrefix(r.Target, read.Prefix) {
						return NoFault
					}
					return Raw
				})
			}
			if relayed {
				f.Boxes[0].CutFromServers(ResetAll, nil)
			}
			c := &Client{Address: f.Boxes[0].Clients}
			defer c.Close()
			for n := range headLength {
				length.Store(int64(n))
				eventually(t, "servers answer", func() bool { return c.Do("GET", "/read/1", "whole", "", "").Status == 200 })
				r := requests[n%len(requests)]
				a := c.Do(r.method, r.target, "cut", r.body, r.extra)
				if a.Problem != nil || a.Status != 502 || a.Header.Get("X-Stoneworks-Response-Signature") != "" {
					t.Errorf("%s after %d bytes: status %d, error %v, body %.40q", r.method, n, a.Status, a.Problem, a.Body)
				}
			}
			is.New(t).Equal(cuts.Load(), int64(headLength))
		})
	}
}

// TestBrokenHeadIsRetried checks that a request that may run twice is answered by another server.
func TestBrokenHeadIsRetried(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, "east-a.1", "east-a.2")
	send := func(name string, count int) {
		for i := range count {
			id := fmt.Sprint(name, "-", i)
			c := &Client{Address: f.Boxes[0].Clients}
			a := c.Do("GET", fmt.Sprintf("/read/%d", i), id, "", "")
			c.Close()
			is.NoErr(a.Problem)
			is.Equal(a.Status, 200)
			is.Equal(a.Body, AnswerBody(id))
			is.True(a.Header.Get("X-Stoneworks-Response-Signature") != brokenSignature)
		}
	}
	send("whole", 40) // fills the retry budget
	broken := f.Servers["east-a.1"]
	broken.RawAnswer = brokenHeads["status 000"]
	var sent atomic.Bool
	broken.SetFault(func(*Run) Fault {
		if sent.CompareAndSwap(false, true) {
			return Raw
		}
		return NoFault
	})
	send("broken", 20)
	is.True(sent.Load())
}

// TestBytesWithoutEndAreRefused checks that a client is refused soon whose server answers with bytes that
// do not end, and that the box does not grow.
func TestBytesWithoutEndAreRefused(t *testing.T) {
	const maxGrowth = 64 << 20
	chunked := func(end string) func(id string) string {
		return func(id string) string {
			return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Stoneworks-Request-Id: %s\r\nX-Stoneworks-Response-Signature: %s\r\nTransfer-Encoding: chunked\r\n\r\n%s", id, brokenSignature, end)
		}
	}
	for name, c := range map[string]struct {
		start func(id string) string
		more  string
	}{
		"no answer":       {func(string) string { return "" }, "no answer "},
		"status line":     {func(string) string { return "HTTP/1.1 200 " }, "OK"},
		"interim answers": {func(string) string { return "" }, "HTTP/1.1 102 Processing\r\n\r\n"},
		"chunk size":      {chunked(""), "0"},
		"trailer line":    {chunked("5\r\nhello\r\n0\r\nX-Status: "), "1"},
		"trailer lines":   {chunked("5\r\nhello\r\n0\r\n"), "X-Status: 1\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, 1, "east-a.1")
			s := f.Servers["east-a.1"]
			s.RawAnswer, s.RawMore = c.start, c.more
			s.SetFault(func(*Run) Fault { return RawEndless })
			client := &Client{Address: f.Boxes[0].Clients}
			defer client.Close()
			var a *Answer
			grown := rawserver.Allocated(func() { a = client.Do("POST", "/buy/1", "endless", "body", "") })
			t.Logf("status %d, error %v after %v, %d bytes allocated", a.Status, a.Problem, a.Took, grown)
			is.NoErr(a.Problem)
			is.Equal(a.Status, 502)
			is.True(a.Took < 500*time.Millisecond)
			is.True(grown < maxGrowth)
		})
	}
}

// TestResetUploadsAreNotAnswered checks that a part of an answer without a length does not reach a
// client as a whole one if the server resets its connection while the upload is still sent, over a
// direct connection and through another box.
func TestResetUploadsAreNotAnswered(t *testing.T) {
	for _, relayed := range []bool{false, true} {
		t.Run(fmt.Sprint("relayed ", relayed), func(t *testing.T) {
			checkPartialAnswers(t, ResetEarly, relayed, 60, 1, strings.Repeat("x", longBody))
		})
	}
}

// TestStalledUploadsAreNotAnswered checks the same if the server stops reading, so that the connection is
// given up.
func TestStalledUploadsAreNotAnswered(t *testing.T) {
	for _, relayed := range []bool{false, true} {
		t.Run(fmt.Sprint("relayed ", relayed), func(t *testing.T) {
			checkPartialAnswers(t, StallEarly, relayed, 8, 4, strings.Repeat("x", 8*longBody))
		})
	}
}

// checkPartialAnswers sends uploads to servers with a fault that breaks their answers off, some of them at
// a time, and checks that no answer is taken as whole.
func checkPartialAnswers(t *testing.T, fault Fault, relayed bool, uploads, atOnce int, body string) {
	t.Helper()
	is := is.New(t)
	f := newUploadFleet(t, fault, 0, "east-a.1", "east-a.2")
	if relayed {
		f.Boxes[0].CutFromServers(ResetAll, nil)
		eventually(t, "the other box passes requests on", func() bool {
			c := &Client{Address: f.Boxes[0].Clients}
			defer c.Close()
			return c.Do("GET", "/read/1", "relayed", "", "").Status == 200
		})
	}
	clients := pool.NewWithResults[string]().WithMaxGoroutines(atOnce)
	for i := range uploads {
		clients.Go(func() string {
			c := &Client{Address: f.Boxes[0].Clients}
			defer c.Close()
			if err := c.Open(); err != nil {
				t.Error(err)
			}
			var sending conc.WaitGroup
			sending.Go(func() { _ = c.Send("PUT", "/up/1", fmt.Sprint("upload-", i), body, "") })
			a := c.Read()
			sending.Wait()
			return fmt.Sprint(a.Status, " ", a.Problem)
		})
	}
	results := map[string]int{}
	for _, result := range clients.Wait() {
		results[result]++
	}
	t.Logf("statuses and errors: %v", results)
	is.Equal(results["200 <nil>"], 0)
	is.True(results["502 <nil>"] > 0)
}

// TestBrokenOffAnswersDoNotEndInOrder checks that a client of HTTP/1.0, for which the end of its connection
// is the end of an answer without a length, does not take a part of a long one as whole.
func TestBrokenOffAnswersDoNotEndInOrder(t *testing.T) {
	const start, end = "Transfer-Encoding: chunked\r\n\r\n80000\r\n", "\r\n0\r\n\r\n"
	text := strings.Repeat("x", 512<<10)
	for name, c := range map[string]struct {
		request string
		rest    string
		isWhole bool
	}{
		"GET, whole":  {"GET /read/1 HTTP/1.0\r\n\r\n", text + end, true},
		"GET, cut":    {"GET /read/1 HTTP/1.0\r\n\r\n", text, false},
		"POST, whole": {"POST /buy/1 HTTP/1.0\r\nContent-Length: 4\r\n\r\nbody", text + end, true},
		"POST, cut":   {"POST /buy/1 HTTP/1.0\r\nContent-Length: 4\r\n\r\nbody", text[:300<<10], false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, 1, "east-a.1")
			s := f.Servers["east-a.1"]
			s.RawAnswer = func(id string) string {
				return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Stoneworks-Request-Id: %s\r\nX-Stoneworks-Response-Signature: %s\r\n%s%s", id, brokenSignature, start, c.rest)
			}
			s.SetFault(func(*Run) Fault { return Raw })
			client := &Client{Address: f.Boxes[0].Clients}
			defer client.Close()
			is.NoErr(client.write(strings.Replace(c.request, "\r\n", "\r\nHost: shop.example\r\nX-Stoneworks-Request-Id: 1\r\n", 1)))
			a := client.Read()
			t.Logf("status %d, %d bytes, error %v", a.Status, len(a.Body), a.Problem)
			is.Equal(a.Problem == nil, c.isWhole)
			is.True(!c.isWhole || a.Body == text)
		})
	}
}

// TestHeadAnswersKeepTheirLength checks that an answer to HEAD does not say that the body is empty.
func TestHeadAnswersKeepTheirLength(t *testing.T) {
	f := newFleet(t, 1, "east-a.1")
	for name, c := range map[string]struct{ method, status, extra, length string }{
		"HEAD":                 {"HEAD", "200 OK", "Content-Length: 1234\r\n", "1234"},
		"HEAD, unknown length": {"HEAD", "200 OK", "Transfer-Encoding: chunked\r\n", ""},
		"304":                  {"GET", "304 Not Modified", "Content-Length: 1234\r\n", ""},
		"GET, until the end":   {"GET", "200 OK", "", fmt.Sprint(len(AnswerBody("length")))},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			answerRaw(f.Servers["east-a.1"], func(id string) string {
				text := rawAnswer("HTTP/1.1 "+c.status, c.extra)(id)
				if c.extra != "" {
					text = strings.TrimSuffix(text, AnswerBody(id))
				}
				return text
			})
			client := &Client{Address: f.Boxes[0].Clients}
			defer client.Close()
			is.NoErr(client.Send(c.method, "/buy/1", "length", "", ""))
			answer, err := http.ReadResponse(client.reader, &http.Request{Method: c.method})
			is.NoErr(err)
			t.Log(answer.Status, answer.Header)
			is.Equal(answer.Header.Get("Content-Length"), c.length)
		})
	}
}
