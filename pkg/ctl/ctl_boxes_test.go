package ctl

import (
	"io"
	"testing"

	"github.com/matryer/is"

	"github.com/stoneworks/stoneworks/test/rawserver"
)

// TestBrokenAnswersAreFailures checks that a verb fails if a box's answer is malformed or cut off.
func TestBrokenAnswersAreFailures(t *testing.T) {
	for name, c := range map[string]struct {
		answer string
		code   int
	}{
		"whole":               {"HTTP/1.1 200 OK\r\n\r\n{}", ExitOK},
		"status 000":          {"HTTP/1.1 000 OK\r\n\r\n{}", ExitFailed},
		"blank in a name":     {"HTTP/1.1 200 OK\r\nX Status: 1\r\n\r\n{}", ExitFailed},
		"cut behind its list": {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}", ExitFailed},
	} {
		t.Run(name, func(t *testing.T) {
			address := rawserver.Start(t, rawserver.Text(c.answer))
			is.New(t).Equal(Main([]string{"quarantine", address}, nil, io.Discard, io.Discard), c.code)
		})
	}
}

// TestCutAnswersAreFailures checks the same for answers that are cut anywhere.
func TestCutAnswersAreFailures(t *testing.T) {
	for name, answer := range rawserver.Cuts("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}") {
		if code := Main([]string{"quarantine", rawserver.Start(t, answer)}, nil, io.Discard, io.Discard); code != ExitFailed {
			t.Errorf("%s: %d", name, code)
		}
	}
	for name, answer := range rawserver.Cuts("HTTP/1.1 204 No Content\r\nX-Status: 1\r\n\r\n") {
		if callBox(t.Context(), "DELETE", rawserver.Start(t, answer), "/", nil) == nil {
			t.Error(name)
		}
	}
}
