package ingress

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"github.com/stoneworks/stoneworks/pkg/logging"
)

// newUploadCall returns the call of a request. Its ResponseWriter does not let answers begin before the
// end of the body.
func newUploadCall(r *http.Request) *call {
	log := logging.For(logging.New(discard.New(), logging.ParseLevel("error")), "request")
	return &call{server: &Server{Count: func(string) {}, Log: log}, w: httptest.NewRecorder(), r: r}
}

// TestSharedBodyBreaksOff guards against passing on a body with a gap where net/http discards a part of
// it at the start of an answer: reads after that fail.
func TestSharedBodyBreaksOff(t *testing.T) {
	is := is.New(t)
	r := httptest.NewRequest("POST", "/", strings.NewReader("a body"))
	c := newUploadCall(r)
	c.openUpload()
	start := make([]byte, 2)
	_, err := io.ReadFull(c.upload, start)
	is.NoErr(err)
	c.beginAnswer(200, true)
	_, err = c.upload.Read(start)
	var shared *SharedBodyError
	is.True(errors.As(err, &shared))
	is.Equal(c.w.Header().Get("Connection"), "close")
}

// TestBodyAtItsEndMayBeAnswered checks that an answer after the body's end keeps the connection.
func TestBodyAtItsEndMayBeAnswered(t *testing.T) {
	is := is.New(t)
	c := newUploadCall(httptest.NewRequest("POST", "/", strings.NewReader("a body")))
	c.openUpload()
	_, err := io.Copy(io.Discard, c.upload)
	is.NoErr(err)
	c.beginAnswer(200, false)
	is.Equal(c.w.Header().Get("Connection"), "")
}
