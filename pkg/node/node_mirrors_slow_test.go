package node

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/stoneworks/stoneworks/pkg/clock"
	"github.com/stoneworks/stoneworks/pkg/logging"
	"github.com/stoneworks/stoneworks/pkg/objects"
	"github.com/stoneworks/stoneworks/pkg/replica"
	"github.com/stoneworks/stoneworks/pkg/settings"
)

// serveSlowly serves a list in parts as another box would, with a pause before each part.
func serveSlowly(t *testing.T, parts int, pause time.Duration) (address string) {
	t.Helper()
	text, err := json.Marshal(replica.Handover{Whole: true, Items: []objects.Object{{Name: "i-1", Revision: 1, Spec: []byte(`{}`)}}})
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for part := range parts {
			select {
			case <-time.After(pause):
			case <-r.Context().Done():
				return
			}
			_, _ = w.Write(text[part*len(text)/parts : (part+1)*len(text)/parts])
			_ = http.NewResponseController(w).Flush()
		}
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// pull fetches a list as package replica does.
func pull(t *testing.T, source string) (*replica.Handover, error) {
	t.Helper()
	s := settings.Defaults()
	s.Box, s.Zone = "box-1", "east-a"
	n := &Node{Settings: &s, Clock: clock.New(), context: context.Background(), log: logging.For(logging.New(logging.NewAsyncJSONHandler(&bytes.Buffer{}), 0), "box")}
	n.Connect = n.connect
	ctx, cancel := context.WithTimeout(context.Background(), replica.PullTimeout)
	defer cancel()
	return n.fetchMirror(ctx, source, objects.NewMirror("servers"))
}

// TestSlowListIsFetched guards against a total time limit for fetching a list. When a whole list
// had to arrive within one second, small boxes with a sixth of a processor gave up and started
// again, the more of them the more servers there were: after all boxes had lost power, a fleet
// of 985 boxes served no requests for three seconds. What matters is that data keeps arriving.
func TestSlowListIsFetched(t *testing.T) {
	is := is.New(t)
	h, err := pull(t, serveSlowly(t, 12, 200*time.Millisecond))
	is.NoErr(err)
	is.Equal(len(h.Items), 1)
}

// TestStalledListIsGivenUp checks that the box gives up soon, so that it can ask another box.
func TestStalledListIsGivenUp(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	_, err := pull(t, serveSlowly(t, 1, 10*time.Second))
	is.True(err != nil)
	is.True(time.Since(start) < 2*time.Second)
}
