package exchange

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// relayedConn is a connection through another box.
type relayedConn struct{ *scriptedConn }

func (c relayedConn) Via() string { return "box-2" }

// direct allows connections that pass through no other box.
func direct(c net.Conn) bool {
	_, isRelayed := c.(relayedConn)
	return !isRelayed
}

// TestRestrictedRequestIsNotSentThroughOtherBoxes guards against restricted requests on connections
// that other requests have opened, or that were opened for them by mistake.
func TestRestrictedRequestIsNotSentThroughOtherBoxes(t *testing.T) {
	is := is.New(t)
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	script := func(answers int) *scriptedConn {
		var list []io.Reader
		for range answers {
			list = append(list, strings.NewReader(answer))
		}
		return &scriptedConn{answer: io.MultiReader(list...), writeLimit: -1}
	}
	through, own := script(2), script(1)
	p := newTestPool(relayedConn{through})
	p.StillUsable = func(net.Conn) bool { return true }
	send := func(r *Restriction) error {
		x := newRequest("body")
		x.Restriction = r
		a, err := p.Do(t.Context(), x)
		if err == nil {
			err = a.Body.Close()
		}
		return err
	}
	dial := func(c net.Conn) *Restriction {
		return &Restriction{Allows: direct, Dial: func(context.Context, string) (net.Conn, error) { return c, nil }}
	}
	is.NoErr(send(nil))
	wrote := through.wrote
	is.NoErr(send(dial(own)))
	is.True(own.wrote > 0)
	is.Equal(through.wrote, wrote)

	unused := script(0)
	err := send(dial(relayedConn{unused}))
	var failure *Error
	var restricted *RestrictionError
	is.True(errors.As(err, &failure) && errors.As(err, &restricted))
	is.True(!failure.Sent)
	is.Equal(restricted.Via, "box-2")
	is.Equal(unused.wrote, 0)
	is.NoErr(send(nil)) // the connection of the first request is still there
	is.True(through.wrote > wrote)
}
