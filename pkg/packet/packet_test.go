package packet

import (
	"errors"
	"testing"

	"github.com/matryer/is"
)

type message struct {
	Name  string
	Count int
}

var codec = Codec[message]{Kind: "test", FirstByte: 0x77}

func TestMessagesRoundTrip(t *testing.T) {
	is := is.New(t)
	m := &message{Name: "box-1", Count: 7}
	datagram, err := codec.Encode(m)
	is.NoErr(err)
	is.True(codec.IsMessage(datagram))
	is.True(len(datagram) < 12) // without the names of fields
	back, err := codec.Decode(datagram)
	is.NoErr(err)
	is.Equal(back, m)
}

func TestOtherDatagramsAreTypedErrors(t *testing.T) {
	for _, datagram := range [][]byte{nil, {}, {0x78, 0x92}, {0x77}, {0x77, 0xff}, []byte("GET / HTTP/1.1")} {
		_, err := codec.Decode(datagram)
		var other *Error
		if !errors.As(err, &other) || other.Kind != "test" {
			t.Errorf("%q: %v", datagram, err)
		}
	}
}
