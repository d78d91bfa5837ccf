package node

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/stoneworks/stoneworks/pkg/exchange"
	"github.com/stoneworks/stoneworks/test/rawserver"
)

// TestBrokenListsOfBoxesAreErrors checks that a list of another box fails whose answer is malformed or
// ends early, in place of being taken.
func TestBrokenListsOfBoxesAreErrors(t *testing.T) {
	const list = `{"at":7,"whole":true,"items":[]}`
	for name, answer := range map[string]string{
		"status 000":                    "HTTP/1.1 000 OK\r\n\r\n" + list,
		"blank in a name":               "HTTP/1.1 200 OK\r\nX Status: 1\r\n\r\n" + list,
		"blank before a length's colon": "HTTP/1.1 200 OK\r\nContent-Length : 5\r\n\r\n" + list,
		"cut behind its list":           fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list)+9, list),
		"more behind its list":          "HTTP/1.1 200 OK\r\n\r\n" + list + list,
	} {
		t.Run(name, func(t *testing.T) {
			_, err := pull(t, rawserver.Start(t, rawserver.Text(answer)))
			t.Log(err)
			is.New(t).True(err != nil)
		})
	}
}

// TestCutListsOfBoxesAreErrors checks the same for a list that is cut anywhere.
func TestCutListsOfBoxesAreErrors(t *testing.T) {
	for name, answer := range rawserver.Cuts("HTTP/1.1 200 OK\r\nContent-Length: 32\r\n\r\n" + `{"at":7,"whole":true,"items":[]}`) {
		if _, err := pull(t, rawserver.Start(t, answer)); err == nil {
			t.Error(name)
		}
	}
}

// TestListWithoutEndIsRefused checks that a box does not hold a list of another box without end. Blanks
// between two values are no part of one, and do not end a decoder's work either.
func TestListWithoutEndIsRefused(t *testing.T) {
	for name, c := range map[string]struct{ start, more string }{
		"items":  {`{"at":7,"whole":true,"items":[{}`, ",{}"},
		"a text": {`{"at":7,"whole":true,"items":[{"name":"`, "a"},
		"blanks": {`{"at":7,"whole":true,"items":[]}`, " "},
	} {
		t.Run(name, func(t *testing.T) {
			var err error
			grown := rawserver.Allocated(func() {
				_, err = pull(t, rawserver.Start(t, rawserver.Endless("HTTP/1.1 200 OK\r\n\r\n"+c.start, c.more)))
			})
			t.Logf("%v, %d bytes allocated", err, grown)
			var tooLong *exchange.TooLongError
			is.New(t).True(errors.As(err, &tooLong))
			is.New(t).True(grown < 8*maxHandover)
		})
	}
}
