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

// serveSlowly is a box that hands a list over in parts, with a pause before each.
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

// pull has a box take a list over, as package replica has it.
func pull(t *testing.T, source string) (*replica.Handover, error) {
	t.Helper()
	s := settings.Defaults()
	s.Box, s.Zone = "box-1", "east-a"
	n := &Node{Settings: &s, Clock: clock.New(), context: context.Background(), log: logging.For(logging.New(logging.NewAsyncJSONHandler(&bytes.Buffer{}), 0), "box")}
	ctx, cancel := context.WithTimeout(context.Background(), replica.PullTimeout)
	defer cancel()
	return n.fetchMirror(ctx, source, objects.NewMirror("servers"))
}

// TestListThatComesSlowlyIsTakenOver. The story: after all boxes had lost power a fleet of 985 boxes served nobody for
// three seconds. A whole list had to be taken over within one second, on small boxes with a sixth of a processor
// too: the more servers, the more of them broke it off and began anew. What counts is that something comes.
func TestListThatComesSlowlyIsTakenOver(t *testing.T) {
	is := is.New(t)
	h, err := pull(t, serveSlowly(t, 12, 200*time.Millisecond))
	is.NoErr(err)
	is.Equal(len(h.Items), 1)
}

// TestListThatDoesNotComeIsGivenUp: soon, so that another box is asked.
func TestListThatDoesNotComeIsGivenUp(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	_, err := pull(t, serveSlowly(t, 1, 10*time.Second))
	is.True(err != nil)
	is.True(time.Since(start) < 2*time.Second)
}
