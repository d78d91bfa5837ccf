package caller

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/stoneworks/stoneworks/pkg/entry"
	"github.com/stoneworks/stoneworks/pkg/outcome"
	"github.com/stoneworks/stoneworks/test/rawserver"
)

// maxTestAnswer is the longest answer that the tests' clients accept, in bytes.
const maxTestAnswer = 1 << 20

// submit sends a request to a box that answers like this.
func submit(t *testing.T, answer func(c net.Conn)) *Result {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	address := rawserver.Start(t, answer)
	c := New("", address)
	c.MaxAnswer = maxTestAnswer
	return c.Submit(ctx, address, Submission{Request: Request{Service: "shop", Method: "GET", Path: "/"}, ID: "1"})
}

// TestBrokenAnswersAreUnknown checks that a caller gets no part of an answer whose head is malformed.
func TestBrokenAnswersAreUnknown(t *testing.T) {
	for name, start := range map[string]string{
		"status 000":                    "HTTP/1.1 000 OK\r\nContent-Length: 5\r\n",
		"blank in a name":               "HTTP/1.1 200 OK\r\nX Status: 1\r\nContent-Length: 5\r\n",
		"blank before a length's colon": "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := submit(t, rawserver.Text(start+entry.HeaderOutcome+": "+string(outcome.Answered)+"\r\n\r\nhello"))
			is.Equal(r.Outcome, outcome.Unknown)
			is.Equal(r.Reason, outcome.ReasonMalformed)
			is.Equal(len(r.Body), 0)
		})
	}
}

// TestCutHeadsAreUnknown checks that a caller gets no part of an answer whose connection ends within its head.
func TestCutHeadsAreUnknown(t *testing.T) {
	for name, answer := range rawserver.Cuts("HTTP/1.1 200 OK\r\n" + entry.HeaderOutcome + ": " + string(outcome.Answered) + "\r\n\r\n") {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := submit(t, answer)
			is.Equal(r.Outcome, outcome.Unknown)
			is.Equal(r.Status, 0)
			is.Equal(len(r.Body), 0)
		})
	}
}

// TestAnswersWithoutEndAreUnknown checks that a caller does not hold an answer without end.
func TestAnswersWithoutEndAreUnknown(t *testing.T) {
	is := is.New(t)
	begun := time.Now()
	r := submit(t, rawserver.Endless("HTTP/1.1 200 OK\r\n"+entry.HeaderOutcome+": "+string(outcome.Answered)+"\r\n\r\n", "hello"))
	is.Equal(r.Outcome, outcome.Unknown)
	is.Equal(r.Reason, outcome.ReasonMalformed)
	is.Equal(len(r.Body), 0)
	is.True(time.Since(begun) < time.Second)
}
