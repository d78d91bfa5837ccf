package ctl

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
)

// TestReleaseTellsWhetherItMayHaveHappened checks the exit code of a release whose call fails: only
// a call that reached no box, or that the box has refused, has changed nothing for certain.
func TestReleaseTellsWhetherItMayHaveHappened(t *testing.T) {
	closed, err := net.Listen("tcp4", "127.0.0.1:0")
	is.New(t).NoErr(err)
	is.New(t).NoErr(closed.Close())
	serve := func(h http.HandlerFunc) string {
		s := httptest.NewServer(h)
		t.Cleanup(s.Close)
		return s.Listener.Addr().String()
	}
	for name, c := range map[string]struct {
		address string
		code    int
	}{
		"done":      {serve(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }), ExitOK},
		"refused":   {serve(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) }), ExitFailed},
		"no box":    {closed.Addr().String(), ExitFailed},
		"no answer": {serve(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }), ExitUnknown},
		"no time":   {serve(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }), ExitUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			args := []string{"--timeout", "200ms", "release", "0000000000000007", c.address}
			is.New(t).Equal(Main(args, nil, io.Discard, io.Discard), c.code)
		})
	}
}
