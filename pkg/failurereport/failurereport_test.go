package failurereport

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/stoneworks/stoneworks/pkg/backend"

	"github.com/stoneworks/stoneworks/pkg/packet"
)

func TestMessagesSurviveTheWire(t *testing.T) {
	is := is.New(t)
	m := &Message{Box: "edge-1", Reports: []backend.FailureReport{{Server: "i-1", Stale: true}, {Server: "i-2"}}}
	datagram, err := Wire.Encode(m)
	is.NoErr(err)
	back, err := Wire.Decode(datagram)
	is.NoErr(err)
	is.Equal(back, m)
}

func TestOtherDatagramsAreRefused(t *testing.T) {
	for _, datagram := range [][]byte{nil, {}, {2, 0x92}, {wireVersion}, {wireVersion, 0xff}, []byte("GET / HTTP/1.1")} {
		_, err := Wire.Decode(datagram)
		var wire *packet.Error
		if !errors.As(err, &wire) {
			t.Errorf("%q: %v", datagram, err)
		}
	}
}

// TestReportsAreSentOnceAndSplit checks that the same report on a server is sent again only
// after a while, and that no message is too large for a packet.
func TestReportsAreSentOnceAndSplit(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	o := &Outbox{Box: "edge-1", Now: func() time.Time { return now }}
	for range 2 {
		for i := range 60 {
			o.Add(backend.FailureReport{Server: fmt.Sprintf("i-%010d", i)})
		}
	}
	messages := o.Take()
	is.Equal(len(messages), 2)
	is.Equal(len(messages[0].Reports)+len(messages[1].Reports), 60)
	for i := range messages {
		datagram, err := Wire.Encode(&messages[i])
		is.NoErr(err)
		is.True(len(datagram) < 1400)
	}
	is.Equal(len(o.Take()), 0)
	o.Add(backend.FailureReport{Server: "i-0000000000"})
	is.Equal(len(o.Take()), 0)
	now = now.Add(resendAfter)
	is.Equal(len(o.Take()), 0)
	o.Add(backend.FailureReport{Server: "i-0000000000"})
	is.Equal(len(o.Take()), 1)
}
