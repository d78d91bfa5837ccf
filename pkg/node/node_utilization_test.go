package node

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/stoneworks/stoneworks/pkg/objects"
	"github.com/stoneworks/stoneworks/pkg/replica"
	"github.com/stoneworks/stoneworks/pkg/settings"
)

// TestBytesAndConnectionsAreCountedOnce checks every way in which a connection may be read and
// written, and that one which is closed twice is counted once.
func TestBytesAndConnectionsAreCountedOnce(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	dialed, err := net.Dial("tcp4", l.Addr().String())
	is.NoErr(err)
	var here, there traffic
	near := here.counted(dialed)
	far, err := countedListener{l, &there}.Accept()
	is.NoErr(err)
	is.Equal(here.descriptors(), fixedDescriptors+1)

	_, err = near.Write([]byte("four"))
	is.NoErr(err)
	_, err = io.Copy(near, strings.NewReader("sixsix"))
	is.NoErr(err)
	_, err = far.Read(make([]byte, 1))
	is.NoErr(err)
	is.NoErr(near.Close())
	_ = near.Close() // an error, since it is closed
	_, err = io.Copy(io.Discard, far)
	is.NoErr(err)
	is.Equal(here.sent.Load(), uint64(10))
	is.Equal(there.received.Load(), uint64(10))
	is.Equal(here.descriptors(), fixedDescriptors)
	is.Equal(there.descriptors(), fixedDescriptors+1)
}

// TestBytesOfMirrorsAreCounted checks that what a box fetches from another one counts.
func TestBytesOfMirrorsAreCounted(t *testing.T) {
	is := is.New(t)
	source := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(replica.Handover{})
	}))
	defer source.Close()
	n := &Node{Settings: &settings.Settings{Advertise: settings.Addresses{Peers: "127.0.0.1:1"}}}
	n.Connect = n.connect
	_, err := n.fetchMirror(t.Context(), source.Listener.Addr().String(), &objects.Mirror{Kind: "servers"})
	is.NoErr(err)
	is.True(n.traffic.received.Load() > 0)
}
